// A stand-in node list: a discovery controller that learns late, can be watched, and can be out of reach.
#pragma once

#include <unordered_map>

#include "lab/day.h"
#include "lab/record.h"
#include "nvme/target.h"

namespace heronworks::lab {

class StandInList final : public nvme::Backend {
 public:
  // `ports`: of the nodes, by number.
  StandInList(Loop& loop, const Day& day, const Address& listen, double start,
              std::vector<std::uint16_t> ports, Recorder& record);

  nvme::Status identify(std::uint8_t cns, std::uint8_t csi, std::uint32_t nsid, nvme::Bytes& page) override;
  void execute_command(nvme::Command&& command) override;
  void get_log_page(nvme::ConnectionId connection, std::uint16_t cid, std::uint8_t page, std::uint64_t offset,
                    std::uint32_t length) override;
  void connection_established(nvme::ConnectionId connection, const std::string& host, bool admin,
                              const Address& peer) override;
  void connection_closed(nvme::ConnectionId connection) override { via_.erase(connection); }

 private:
  nvme::Bytes page_now(std::vector<int>& ready) const;
  bool down() const;

  Loop& loop_;
  const Day& day_;
  const double start_;
  const double wall_;  // fixed: a process keeps the time at which it came up
  const std::vector<std::uint16_t> ports_;
  Recorder& record_;
  std::vector<std::vector<Life>> lives_;
  std::unordered_map<nvme::ConnectionId, int> via_;
  std::uint64_t generation_ = 1;
  std::unique_ptr<nvme::Target> target_;
};

}  // namespace heronworks::lab
