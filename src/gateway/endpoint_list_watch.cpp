#include "gateway/endpoint_list_watch.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace heronworks::gateway {
namespace {

constexpr std::size_t kMaxEndpoints = 65536;
constexpr std::size_t kRecordBytes = 1024;   // of the header and of each entry
constexpr int kMaxPartShift = 18;            // a part has at most 1 << 18 bytes
constexpr std::uint32_t kMaxShards = 65536;  // as in the configuration

std::string checksum(const std::string& text) {
  return std::to_string(XXH3_64bits(text.data(), text.size()));
}

}  // namespace

std::optional<std::vector<ListedEndpoint>> decode_endpoint_list(nvme::ByteView bytes, std::string& reason) {
  if (bytes.size() < sizeof(nvme::DiscoveryHeader))
    return reason = "header truncated: got " + std::to_string(bytes.size()) + " of 1024 bytes", std::nullopt;
  const auto header = nvme::read_as<nvme::DiscoveryHeader>(bytes);
  if (header.recfmt != 0)
    return reason = "unknown record format " + std::to_string(header.recfmt), std::nullopt;
  if (header.numrec > kMaxEndpoints || bytes.size() < kRecordBytes * (1 + header.numrec))
    return reason = std::to_string(header.numrec) + " records do not fit in " + std::to_string(bytes.size()) +
                    " bytes, or are more than " + std::to_string(kMaxEndpoints),
           std::nullopt;
  std::vector<ListedEndpoint> endpoints;
  for (std::size_t i = 0; i < header.numrec; ++i) {
    const auto entry = nvme::read_as<nvme::DiscoveryEntry>(bytes.subspan(kRecordBytes * (i + 1)));
    const std::string prefix = "record " + std::to_string(i) + ": ";
    if (entry.trtype != 3 || entry.subtype != 2) continue;  // not TCP, or a referral
    if (std::string(entry.vendor_signature.data(), 4) != "HWK1")
      return reason = prefix + "vendor-specific field does not start with HWK1", std::nullopt;
    const std::string host = nvme::get_text(entry.traddr);
    const std::string port = nvme::get_text(entry.trsvcid);
    const auto address = Address::parse((entry.adrfam == 2 ? "[" + host + "]" : host) + ":" + port);
    if (!address) return reason = prefix + "invalid address '" + host + ":" + port + "'", std::nullopt;
    if (entry.shard >= kMaxShards)
      return reason = prefix + "shard " + std::to_string(entry.shard) + " is not below " +
                      std::to_string(kMaxShards),
             std::nullopt;
    if (entry.node_state < 1 || entry.node_state > 2)
      return reason = prefix + "unknown state " + std::to_string(entry.node_state), std::nullopt;
    ListedEndpoint endpoint;
    endpoint.address = *address;
    endpoint.zone = entry.zone;
    endpoint.shard = static_cast<int>(entry.shard);
    endpoint.state = entry.node_state == 1 ? NodeState::kReady : NodeState::kDraining;
    endpoint.started_at = entry.started_at;
    endpoints.push_back(std::move(endpoint));
  }
  return endpoints;
}

nvme::Bytes encode_endpoint_list(const std::vector<ListedEndpoint>& endpoints, std::uint64_t generation,
                                 const std::string& subsystem) {
  nvme::Bytes bytes(kRecordBytes * (endpoints.size() + 1));
  nvme::DiscoveryHeader header;
  header.genctr = generation;
  header.numrec = endpoints.size();
  std::memcpy(bytes.data(), &header, sizeof header);
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    const ListedEndpoint& endpoint = endpoints[i];
    nvme::DiscoveryEntry entry;
    entry.adrfam = endpoint.address.host.find(':') == std::string::npos ? 1 : 2;
    entry.portid = static_cast<std::uint16_t>(i + 1);
    nvme::put_text(entry.trsvcid, std::to_string(endpoint.address.port), ' ');
    nvme::put_text(entry.subnqn, subsystem);
    nvme::put_text(entry.traddr, endpoint.address.host, ' ');
    nvme::put_text(entry.vendor_signature, "HWK1");
    entry.node_state = endpoint.state == NodeState::kDraining ? 2 : 1;
    entry.zone = static_cast<std::uint16_t>(endpoint.zone);
    entry.shard = static_cast<std::uint32_t>(endpoint.shard);
    entry.started_at = endpoint.started_at;
    std::memcpy(bytes.data() + kRecordBytes * (i + 1), &entry, sizeof entry);
  }
  return bytes;
}

std::optional<std::vector<ListedEndpoint>> load_endpoint_list(const std::string& path, std::string& reason) {
  std::ifstream file(path);
  if (!file) return reason = "cannot open " + path, std::nullopt;
  std::string stored_checksum;
  std::getline(file, stored_checksum);
  std::stringstream text;
  text << file.rdbuf();
  if (stored_checksum != checksum(text.str())) return reason = "checksum mismatch", std::nullopt;
  const auto json = nlohmann::json::parse(text.str(), nullptr, false);
  if (!json.is_array()) return reason = "not a JSON array", std::nullopt;
  std::vector<ListedEndpoint> endpoints;
  try {
    for (const auto& entry : json) {
      const auto address = Address::parse(entry.at("address").get<std::string>());
      const int listing = entry.at("listing").get<int>();
      if (!address || listing < 0 || listing > 2)
        return reason = "invalid address or state in entry " + std::to_string(endpoints.size()), std::nullopt;
      endpoints.push_back({*address, entry.at("zone").get<int>(), entry.at("shard").get<int>(),
                           static_cast<NodeState>(listing), entry.at("came_up").get<std::uint64_t>()});
    }
  } catch (const nlohmann::json::exception& e) {
    return reason = e.what(), std::nullopt;
  }
  return endpoints;
}

bool save_endpoint_list(const std::string& path, const std::vector<ListedEndpoint>& endpoints) {
  auto json = nlohmann::json::array();
  for (const ListedEndpoint& endpoint : endpoints) {
    json.push_back({{"address", endpoint.address.to_string()},
                    {"zone", endpoint.zone},
                    {"shard", endpoint.shard},
                    {"listing", static_cast<int>(endpoint.state)},
                    {"came_up", endpoint.started_at}});
  }
  const std::string text = json.dump(1);
  const std::string temporary_path = path + ".new";
  {
    std::ofstream file(temporary_path, std::ios::trunc);
    file << checksum(text) << '\n' << text;
    if (!file.flush()) return false;
  }
  return std::rename(temporary_path.c_str(), path.c_str()) == 0;
}

EndpointListWatch::EndpointListWatch(Loop& loop, nvme::HostOptions options, EndpointListOwner& owner)
    : loop_(loop), options_(std::move(options)), owner_(owner) {}

void EndpointListWatch::refresh() {
  if (!host_) {
    host_ = std::make_unique<nvme::Host>(loop_, options_, *this);
  } else if (host_->ready()) {
    fetch();
  }
}

void EndpointListWatch::on_ready() {
  request_event();
  fetch();
}

void EndpointListWatch::request_event() {
  if (event_requested_) return;
  event_requested_ = true;
  nvme::Sqe sqe;
  sqe.opcode = nvme::opcode::kAsyncEventRequest;
  host_->submit_admin(kEventToken, sqe, nullptr, 0);
}

void EndpointListWatch::fetch() {
  if (fetching_) {
    changed_during_fetch_ = true;
    return;
  }
  fetching_ = true;
  changed_during_fetch_ = false;
  fetch_timer_ = loop_.run_at(loop_.now() + kFetchTimeout, [this] {
    if (host_) host_->close("endpoint list request timed out");
  });
  log_page_.clear();
  nvme::Sqe sqe;
  sqe.opcode = nvme::opcode::kGetLogPage;
  const std::uint32_t words = std::min(host_->max_transfer_size(), std::uint32_t{1} << kMaxPartShift) / 4 - 1;
  sqe.cdw10 = nvme::kLogPageDiscovery | words << 16;
  sqe.cdw11 = words >> 16;
  host_->submit_admin(kLogPageToken, sqe, nullptr, (words + 1) * 4);
}

void EndpointListWatch::on_completed(std::uint64_t token, nvme::Completion&& completion) {
  if (!completion.arrived) return;  // on_disconnected() follows
  if (token == kEventToken) {
    event_requested_ = false;
    // Without an event request, changes of the list would go unnoticed.
    if (!completion.status().ok())
      return host_->close("asynchronous event request failed: " + completion.status().text());
    request_event();
    return fetch();
  }
  if (!completion.status().ok() || (completion.data.empty() && log_page_.empty())) {
    host_->close("no endpoint list received: " + completion.status().text());
    return;
  }
  const bool first_part = log_page_.empty();
  if (!first_part && completion.data.empty())
    return host_->close("endpoint list truncated after " + std::to_string(log_page_.size()) + " bytes");
  log_page_.insert(log_page_.end(), completion.data.begin(), completion.data.end());
  if (log_page_.size() < sizeof(nvme::DiscoveryHeader))
    return host_->close("endpoint list truncated after " + std::to_string(log_page_.size()) + " bytes");
  const auto header = nvme::read_as<nvme::DiscoveryHeader>(log_page_);
  if (header.numrec > kMaxEndpoints)
    return host_->close("endpoint list has " + std::to_string(header.numrec) + " records, at most " +
                        std::to_string(kMaxEndpoints) + " are supported");
  const std::size_t list_bytes = kRecordBytes * (1 + header.numrec);
  if (log_page_.size() < list_bytes) {
    nvme::Sqe sqe;
    sqe.opcode = nvme::opcode::kGetLogPage;
    const auto remaining = static_cast<std::uint32_t>(
        std::min<std::size_t>(list_bytes - log_page_.size(),
                              std::min(host_->max_transfer_size(), std::uint32_t{1} << kMaxPartShift)));
    const std::uint32_t words = remaining / 4 - 1;
    sqe.cdw10 = nvme::kLogPageDiscovery | words << 16;
    sqe.cdw11 = words >> 16;
    sqe.cdw12 = static_cast<std::uint32_t>(log_page_.size());
    return host_->submit_admin(kLogPageToken, sqe, nullptr, remaining);
  }
  loop_.cancel(fetch_timer_);
  fetching_ = false;
  const bool changed = changed_during_fetch_;
  // The parts may come from different versions of the list.
  if (changed && !first_part) return fetch();
  std::string reason;
  auto endpoints = decode_endpoint_list(log_page_, reason);
  log_page_.clear();
  if (!endpoints) return host_->close("invalid endpoint list: " + reason);
  owner_.endpoint_list_received(std::move(*endpoints));
  if (changed && host_ && host_->ready()) fetch();
}

void EndpointListWatch::on_disconnected(const std::string& reason) {
  loop_.cancel(fetch_timer_);
  fetching_ = event_requested_ = changed_during_fetch_ = false;
  host_.reset();
  owner_.endpoint_list_failed(reason);
}

}  // namespace heronworks::gateway
