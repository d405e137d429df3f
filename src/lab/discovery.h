// A stand-in discovery service: an NVMe discovery controller that lists nodes with a delay, sends change
// notifications and can be unavailable.
#pragma once

#include <unordered_map>

#include "lab/record.h"
#include "lab/scenario.h"
#include "nvme/target.h"

namespace heronworks::lab {

class StandInDiscovery final : public nvme::Backend {
 public:
  // `ports[n]` is the port of node n.
  StandInDiscovery(Loop& loop, const Scenario& scenario, const Address& listen, double start,
                   std::vector<std::uint16_t> ports, Recorder& record);

  nvme::Status identify(std::uint8_t cns, std::uint8_t csi, std::uint32_t nsid, nvme::Bytes& page) override;
  void execute_command(nvme::Command&& command) override;
  void get_log_page(nvme::ConnectionId connection, std::uint16_t cid, std::uint8_t page, std::uint64_t offset,
                    std::uint32_t length) override;
  void connection_established(nvme::ConnectionId connection, const std::string& host, bool admin,
                              const Address& peer) override;
  void connection_closed(nvme::ConnectionId connection) override {
    scheduler_of_connection_.erase(connection);
  }

 private:
  nvme::Bytes build_log_page(std::vector<int>& ready) const;
  bool is_down() const;

  Loop& loop_;
  const Scenario& scenario_;
  const double start_;
  const double wall_clock_offset_;  // wall clock minus monotonic clock at the start, s
  const std::vector<std::uint16_t> ports_;
  Recorder& record_;
  std::vector<std::vector<ProcessLifetime>> lifetimes_;
  std::unordered_map<nvme::ConnectionId, int> scheduler_of_connection_;
  std::uint64_t generation_ = 1;
  std::unique_ptr<nvme::Target> target_;
};

}  // namespace heronworks::lab
