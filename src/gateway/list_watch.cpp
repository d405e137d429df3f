// The node list: see list_watch.h.
#include "gateway/list_watch.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace heronworks::gateway {
namespace {

constexpr std::size_t kMostNodes = 65536;
constexpr std::uint32_t kMostShards = 65536;  // as the configuration allows; tables go by shard

std::string checksum(const std::string& text) {
  return std::to_string(XXH3_64bits(text.data(), text.size()));
}

}  // namespace

std::optional<std::vector<ListedNode>> decode_list(nvme::ByteView bytes, std::string& reason) {
  if (bytes.size() < sizeof(nvme::DiscoveryHeader)) return reason = "no header", std::nullopt;
  const auto header = nvme::read_as<nvme::DiscoveryHeader>(bytes);
  if (header.recfmt != 0) return reason = "record format not known", std::nullopt;
  if (header.numrec > kMostNodes || bytes.size() < 1024 * (1 + header.numrec))
    return reason = "fewer bytes than the records announced", std::nullopt;
  std::vector<ListedNode> nodes;
  for (std::size_t i = 0; i < header.numrec; ++i) {
    const auto e = nvme::read_as<nvme::DiscoveryEntry>(bytes.subspan(1024 * (i + 1)));
    const std::string where = "record " + std::to_string(i) + ": ";
    if (e.trtype != 3 || e.subtype != 2) continue;  // other transports and referrals are not ours to follow
    if (std::string(e.vendor_signature.data(), 4) != "HWK1")
      return reason = where + "no vendor part", std::nullopt;
    const std::string host = nvme::get_text(e.traddr);
    const std::string port = nvme::get_text(e.trsvcid);
    const auto address = Address::parse((e.adrfam == 2 ? "[" + host + "]" : host) + ":" + port);
    if (!address) return reason = where + "no address", std::nullopt;
    if (e.shard >= kMostShards) return reason = where + "no such shard", std::nullopt;
    if (e.node_state < 1 || e.node_state > 2) return reason = where + "unknown state", std::nullopt;
    ListedNode n;
    n.address = *address;
    n.zone = e.zone;
    n.shard = static_cast<int>(e.shard);
    n.listing = e.node_state == 1 ? NodeState::kReady : NodeState::kDraining;
    n.came_up = e.started_at;
    nodes.push_back(std::move(n));
  }
  return nodes;
}

nvme::Bytes encode_list(const std::vector<ListedNode>& nodes, std::uint64_t generation,
                        const std::string& subsystem) {
  nvme::Bytes bytes(1024 * (nodes.size() + 1));
  nvme::DiscoveryHeader header;
  header.genctr = generation;
  header.numrec = nodes.size();
  std::memcpy(bytes.data(), &header, sizeof header);
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    const ListedNode& n = nodes[i];
    nvme::DiscoveryEntry e;
    e.adrfam = n.address.host.find(':') == std::string::npos ? 1 : 2;
    e.portid = static_cast<std::uint16_t>(i + 1);
    nvme::put_text(e.trsvcid, std::to_string(n.address.port), ' ');
    nvme::put_text(e.subnqn, subsystem);
    nvme::put_text(e.traddr, n.address.host, ' ');
    nvme::put_text(e.vendor_signature, "HWK1");
    e.node_state = n.listing == NodeState::kDraining ? 2 : 1;
    e.zone = static_cast<std::uint16_t>(n.zone);
    e.shard = static_cast<std::uint32_t>(n.shard);
    e.started_at = n.came_up;
    std::memcpy(bytes.data() + 1024 * (i + 1), &e, sizeof e);
  }
  return bytes;
}

std::optional<std::vector<ListedNode>> load_saved_list(const std::string& path, std::string& reason) {
  std::ifstream file(path);
  if (!file) return reason = "none", std::nullopt;
  std::string sum;
  std::getline(file, sum);
  std::stringstream rest;
  rest << file.rdbuf();
  if (sum != checksum(rest.str())) return reason = "checksum is wrong", std::nullopt;
  const auto json = nlohmann::json::parse(rest.str(), nullptr, false);
  if (!json.is_array()) return reason = "not a list", std::nullopt;
  std::vector<ListedNode> nodes;
  try {
    for (const auto& j : json) {
      const auto address = Address::parse(j.at("address").get<std::string>());
      const int listing = j.at("listing").get<int>();
      if (!address || listing < 0 || listing > 2) return reason = "a broken entry", std::nullopt;
      nodes.push_back({*address, j.at("zone").get<int>(), j.at("shard").get<int>(),
                       static_cast<NodeState>(listing), j.at("came_up").get<std::uint64_t>()});
    }
  } catch (const nlohmann::json::exception& e) {
    return reason = e.what(), std::nullopt;
  }
  return nodes;
}

bool save_list(const std::string& path, const std::vector<ListedNode>& nodes) {
  auto json = nlohmann::json::array();
  for (const ListedNode& n : nodes) {
    json.push_back({{"address", n.address.to_string()},
                    {"zone", n.zone},
                    {"shard", n.shard},
                    {"listing", static_cast<int>(n.listing)},
                    {"came_up", n.came_up}});
  }
  const std::string text = json.dump(1);
  const std::string beside = path + ".new";
  {
    std::ofstream file(beside, std::ios::trunc);
    file << checksum(text) << '\n' << text;
    if (!file.flush()) return false;
  }
  return std::rename(beside.c_str(), path.c_str()) == 0;
}

ListWatch::ListWatch(Loop& loop, nvme::HostOptions options, ListOwner& owner)
    : loop_(loop), options_(std::move(options)), owner_(owner) {}

void ListWatch::watch() {
  if (!host_) {
    host_ = std::make_unique<nvme::Host>(loop_, options_, *this);
  } else if (host_->ready()) {
    fetch();
  }
}

void ListWatch::on_ready() {
  wait_for_event();
  fetch();
}

void ListWatch::wait_for_event() {
  if (event_out_) return;
  event_out_ = true;
  nvme::Sqe c;
  c.opcode = nvme::opcode::kAsyncEventRequest;
  host_->submit_admin(kEvent, c, nullptr, 0);
}

void ListWatch::fetch() {
  if (fetching_) {
    again_ = true;
    return;
  }
  fetching_ = true;
  again_ = false;
  timer_ = loop_.run_at(loop_.now() + kCallTime, [this] {
    if (host_) host_->close("the call for the list took too long");
  });
  page_.clear();
  nvme::Sqe c;
  c.opcode = nvme::opcode::kGetLogPage;
  const std::uint32_t words = std::min(host_->max_transfer_size(), std::uint32_t{1} << 18) / 4 - 1;
  c.cdw10 = nvme::kLogPageDiscovery | words << 16;
  c.cdw11 = words >> 16;
  host_->submit_admin(kPage, c, nullptr, (words + 1) * 4);
}

void ListWatch::on_completed(std::uint64_t token, nvme::Completion&& completion) {
  if (!completion.arrived) return;  // `on_disconnected` follows
  if (token == kEvent) {
    event_out_ = false;
    // Danger: without an event request nothing tells of drains any more. Told as a watch that broke.
    if (!completion.status().ok()) return host_->close("no events: " + completion.status().text());
    wait_for_event();
    return fetch();
  }
  if (!completion.status().ok() || (completion.data.empty() && page_.empty())) {
    host_->close("the list was not given: " + completion.status().text());
    return;
  }
  // Parts belong together only if the list did not change between them.
  const bool first = page_.empty();
  if (!first && completion.data.empty()) return host_->close("the list ended early");
  page_.insert(page_.end(), completion.data.begin(), completion.data.end());
  if (page_.size() < sizeof(nvme::DiscoveryHeader)) return host_->close("the list is cut short");
  const auto header = nvme::read_as<nvme::DiscoveryHeader>(page_);
  if (header.numrec > kMostNodes) return host_->close("the list is too long");
  const std::size_t whole = 1024 * (1 + header.numrec);
  if (page_.size() < whole) {
    nvme::Sqe c;
    c.opcode = nvme::opcode::kGetLogPage;
    const auto left = static_cast<std::uint32_t>(std::min<std::size_t>(
        whole - page_.size(), std::min(host_->max_transfer_size(), std::uint32_t{1} << 18)));
    const std::uint32_t words = left / 4 - 1;
    c.cdw10 = nvme::kLogPageDiscovery | words << 16;
    c.cdw11 = words >> 16;
    c.cdw12 = static_cast<std::uint32_t>(page_.size());
    return host_->submit_admin(kPage, c, nullptr, left);
  }
  loop_.cancel(timer_);
  fetching_ = false;
  const bool again = again_;
  if (again && !first) return fetch();
  std::string reason;
  auto nodes = decode_list(page_, reason);
  page_.clear();
  if (!nodes) return host_->close("not a list: " + reason);
  owner_.list_came(std::move(*nodes));
  if (again && host_ && host_->ready()) fetch();
}

void ListWatch::on_disconnected(const std::string& reason) {
  loop_.cancel(timer_);
  fetching_ = event_out_ = again_ = false;
  host_.reset();
  owner_.list_failed(reason);
}

}  // namespace heronworks::gateway
