// A stand-in node list: see list.h.
#include "lab/list.h"

#include <algorithm>

#include "loop/clock.h"

namespace heronworks::lab {

StandInList::StandInList(Loop& loop, const Day& day, const Address& listen, double start,
                         std::vector<std::uint16_t> ports, Recorder& record)
    : loop_(loop), day_(day), start_(start), wall_(wall_offset()), ports_(std::move(ports)), record_(record) {
  Fd fd = listen_on(listen);
  if (!fd) throw std::runtime_error("cannot listen on " + listen.to_string());
  nvme::TargetOptions o;
  o.subnqn = nvme::kDiscoveryNqn;
  target_ = std::make_unique<nvme::Target>(loop, std::move(fd), o, *this);
  const auto changed = [this] {
    ++generation_;
    if (!down()) target_->send_async_event(nvme::kEventDiscoveryLogChanged);
  };
  for (int n = 0; n < day.nodes; ++n) {
    lives_.push_back(lives_of(day, n));
    for (const Life& l : lives_.back()) {
      for (const double t : {l.from, l.drained_at, l.to}) {
        if (t > -1e8 && t < 1e8) loop_.run_at(start + t + day.notice, changed);
      }
    }
  }
  for (const Act& a : day.acts) {
    if (a.trouble != Trouble::kListDown) continue;
    loop_.run_at(start + a.from, [this] { target_->reset_all_connections(); });
    loop_.run_at(start + a.to + 0.001, changed);
  }
}

bool StandInList::down() const {
  const double t = loop_.now() - start_;
  return std::any_of(day_.acts.begin(), day_.acts.end(), [&](const Act& a) {
    return a.trouble == Trouble::kListDown && t >= a.from && t < a.to;
  });
}

nvme::Status StandInList::identify(std::uint8_t cns, std::uint8_t, std::uint32_t, nvme::Bytes& page) {
  if (cns != 1) return nvme::status::kInvalidField;
  page[111] = 2;  // CNTRLTYPE: discovery controller
  return nvme::status::kOk;
}

void StandInList::execute_command(nvme::Command&& c) {
  target_->complete(c.connection, c.sqe.cid, nvme::status::kInvalidOpcode);
}

void StandInList::connection_established(nvme::ConnectionId connection, const std::string& host, bool,
                                         const Address&) {
  if (down()) return target_->reset_connection(connection);
  const auto dot = host.rfind('.');
  via_[connection] = dot == std::string::npos ? -1 : std::atoi(host.c_str() + dot + 1);
}

// The list as of `notice` ago.
nvme::Bytes StandInList::page_now(std::vector<int>& ready) const {
  const double t = loop_.now() - start_ - day_.notice;
  std::vector<nvme::DiscoveryEntry> entries;
  for (int n = 0; n < day_.nodes; ++n) {
    const auto& lives = lives_[static_cast<std::size_t>(n)];
    for (std::size_t i = 0; i < lives.size(); ++i) {
      const Life& l = lives[i];
      if (t < l.from || t >= l.to) continue;
      nvme::DiscoveryEntry e;
      e.portid = static_cast<std::uint16_t>(n + 1);
      nvme::put_text(e.trsvcid, std::to_string(ports_[static_cast<std::size_t>(n)]), ' ');
      nvme::put_text(e.subnqn, "nqn.2026-11.org.heronworks:node");
      nvme::put_text(e.traddr, "127.0.0.1", ' ');
      nvme::put_text(e.vendor_signature, "HWK1");
      e.node_state = t >= l.drained_at ? 2 : 1;
      e.zone = static_cast<std::uint16_t>(n % day_.zones);
      e.shard = static_cast<std::uint32_t>(n);
      e.started_at = i == 0 ? 0 : static_cast<std::uint64_t>((start_ + l.from + wall_) * 1e6) * 1000;
      if (e.node_state == 1) ready.push_back(n);
      entries.push_back(e);
    }
  }
  nvme::DiscoveryHeader header;
  header.genctr = generation_;
  header.numrec = entries.size();
  nvme::Bytes page(sizeof header + sizeof(nvme::DiscoveryEntry) * entries.size());
  std::memcpy(page.data(), &header, sizeof header);
  if (!entries.empty())
    std::memcpy(page.data() + sizeof header, entries.data(), sizeof(nvme::DiscoveryEntry) * entries.size());
  return page;
}

void StandInList::get_log_page(nvme::ConnectionId connection, std::uint16_t cid, std::uint8_t page,
                               std::uint64_t offset, std::uint32_t length) {
  if (page != nvme::kLogPageDiscovery)
    return void(target_->complete(connection, cid, nvme::status::kInvalidLogPage));
  if (down()) return;
  loop_.run_at(loop_.now() + day_.call_time, [this, connection, cid, offset, length] {
    Event told;
    const nvme::Bytes bytes = page_now(told.nodes);
    if (offset > bytes.size()) return void(target_->complete(connection, cid, nvme::status::kInvalidField));
    const auto part =
        nvme::ByteView(bytes).subspan(offset, std::min<std::size_t>(length, bytes.size() - offset));
    if (!target_->complete(connection, cid, nvme::status::kOk, 0, part)) return;
    told.t = loop_.now();
    told.kind = Kind::kTold;
    told.via = via_[connection];
    record_.write(told);
  });
}

}  // namespace heronworks::lab
