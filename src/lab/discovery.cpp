#include "lab/discovery.h"

#include <algorithm>

#include "loop/clock.h"

namespace heronworks::lab {

StandInDiscovery::StandInDiscovery(Loop& loop, const Scenario& scenario, const Address& listen, double start,
                                   std::vector<std::uint16_t> ports, Recorder& record)
    : loop_(loop),
      scenario_(scenario),
      start_(start),
      wall_clock_offset_(wall_offset()),
      ports_(std::move(ports)),
      record_(record) {
  Fd fd = listen_on(listen);
  if (!fd) throw std::runtime_error("cannot listen on " + listen.to_string());
  nvme::TargetOptions o;
  o.subnqn = nvme::kDiscoveryNqn;
  target_ = std::make_unique<nvme::Target>(loop, std::move(fd), o, *this);
  const auto notify_change = [this] {
    ++generation_;
    if (!is_down()) target_->send_async_event(nvme::kEventDiscoveryLogChanged);
  };
  for (int n = 0; n < scenario.nodes; ++n) {
    lifetimes_.push_back(node_lifetimes(scenario, n));
    for (const ProcessLifetime& lifetime : lifetimes_.back()) {
      for (const double t : {lifetime.from, lifetime.drained_at, lifetime.to}) {
        if (t > -1e8 && t < 1e8) loop_.run_at(start + t + scenario.notice_delay, notify_change);
      }
    }
  }
  for (const FaultEvent& fault : scenario.fault_events) {
    if (fault.kind != FaultKind::kDiscoveryDown) continue;
    loop_.run_at(start + fault.from, [this] { target_->reset_all_connections(); });
    loop_.run_at(start + fault.to + 0.001, notify_change);
  }
}

bool StandInDiscovery::is_down() const {
  const double t = loop_.now() - start_;
  return std::any_of(scenario_.fault_events.begin(), scenario_.fault_events.end(),
                     [&](const FaultEvent& fault) {
                       return fault.kind == FaultKind::kDiscoveryDown && t >= fault.from && t < fault.to;
                     });
}

nvme::Status StandInDiscovery::identify(std::uint8_t cns, std::uint8_t, std::uint32_t, nvme::Bytes& page) {
  if (cns != 1) return nvme::status::kInvalidField;
  page[111] = 2;  // CNTRLTYPE: discovery controller
  return nvme::status::kOk;
}

void StandInDiscovery::execute_command(nvme::Command&& c) {
  target_->complete(c.connection, c.sqe.cid, nvme::status::kInvalidOpcode);
}

void StandInDiscovery::connection_established(nvme::ConnectionId connection, const std::string& host, bool,
                                              const Address&) {
  if (is_down()) return target_->reset_connection(connection);
  const auto dot = host.rfind('.');
  scheduler_of_connection_[connection] = dot == std::string::npos ? -1 : std::atoi(host.c_str() + dot + 1);
}

// Builds the discovery log page as of `notice_delay` seconds ago.
nvme::Bytes StandInDiscovery::build_log_page(std::vector<int>& ready) const {
  const double t = loop_.now() - start_ - scenario_.notice_delay;
  std::vector<nvme::DiscoveryEntry> entries;
  for (int n = 0; n < scenario_.nodes; ++n) {
    const auto& lifetimes = lifetimes_[static_cast<std::size_t>(n)];
    for (std::size_t i = 0; i < lifetimes.size(); ++i) {
      const ProcessLifetime& lifetime = lifetimes[i];
      if (t < lifetime.from || t >= lifetime.to) continue;
      nvme::DiscoveryEntry e;
      e.portid = static_cast<std::uint16_t>(n + 1);
      nvme::put_text(e.trsvcid, std::to_string(ports_[static_cast<std::size_t>(n)]), ' ');
      nvme::put_text(e.subnqn, "nqn.2026-11.org.heronworks:node");
      nvme::put_text(e.traddr, "127.0.0.1", ' ');
      nvme::put_text(e.vendor_signature, "HWK1");
      e.node_state = t >= lifetime.drained_at ? 2 : 1;
      e.zone = static_cast<std::uint16_t>(n % scenario_.zones);
      e.shard = static_cast<std::uint32_t>(n);
      e.started_at =
          i == 0 ? 0 : static_cast<std::uint64_t>((start_ + lifetime.from + wall_clock_offset_) * 1e6) * 1000;
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

void StandInDiscovery::get_log_page(nvme::ConnectionId connection, std::uint16_t cid, std::uint8_t page,
                                    std::uint64_t offset, std::uint32_t length) {
  if (page != nvme::kLogPageDiscovery)
    return void(target_->complete(connection, cid, nvme::status::kInvalidLogPage));
  if (is_down()) return;
  loop_.run_at(loop_.now() + scenario_.response_delay, [this, connection, cid, offset, length] {
    Event list_sent;
    const nvme::Bytes bytes = build_log_page(list_sent.ready_nodes);
    if (offset > bytes.size()) return void(target_->complete(connection, cid, nvme::status::kInvalidField));
    const auto part =
        nvme::ByteView(bytes).subspan(offset, std::min<std::size_t>(length, bytes.size() - offset));
    if (!target_->complete(connection, cid, nvme::status::kOk, 0, part)) return;
    list_sent.time = loop_.now();
    list_sent.kind = EventKind::kListSent;
    list_sent.scheduler = scheduler_of_connection_[connection];
    record_.write(list_sent);
  });
}

}  // namespace heronworks::lab
