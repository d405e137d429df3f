// The endpoint list: fetched from a discovery controller, refetched on each change event, and persisted to a
// file from which the next start can begin.
#pragma once

#include "nvme/host.h"
#include "state.h"

namespace heronworks::gateway {

// One node of the endpoint list.
struct ListedEndpoint {
  Address address;
  int zone = 0;
  int shard = 0;
  NodeState state = NodeState::kReady;
  std::uint64_t started_at = 0;  // ns since 1970; 0: unknown, or long ago
};

// Decode and encode a discovery log page. Decoding fails with a reason if any record is malformed.
std::optional<std::vector<ListedEndpoint>> decode_endpoint_list(nvme::ByteView bytes, std::string& reason);
nvme::Bytes encode_endpoint_list(const std::vector<ListedEndpoint>& endpoints, std::uint64_t generation,
                                 const std::string& subsystem);

// Load and save the list as a file. Loading fails with a reason if the file is missing or its checksum does
// not match. Saving writes a temporary file and renames it, so that a crash of the process leaves the old
// list or the new one; the checksum detects a file left incomplete by a crash of the machine.
std::optional<std::vector<ListedEndpoint>> load_endpoint_list(const std::string& path, std::string& reason);
bool save_endpoint_list(const std::string& path, const std::vector<ListedEndpoint>& endpoints);

class EndpointListOwner {
 public:
  virtual ~EndpointListOwner() = default;
  virtual void endpoint_list_received(std::vector<ListedEndpoint> endpoints) = 0;  // the complete list
  virtual void endpoint_list_failed(const std::string& reason) = 0;
};

class EndpointListWatch final : public nvme::HostHandler {
 public:
  EndpointListWatch(Loop& loop, nvme::HostOptions options, EndpointListOwner& owner);
  // Connects if necessary and fetches the list; from then on fetches it again after each change event. Each
  // fetch ends in endpoint_list_received or endpoint_list_failed. A connection lost later is reported as
  // endpoint_list_failed as well; refresh() must then be called again.
  void refresh();

  void on_ready() override;
  void on_completed(std::uint64_t token, nvme::Completion&& completion) override;
  void on_disconnected(const std::string& reason) override;

 private:
  void fetch();
  void request_event();

  static constexpr std::uint64_t kEventToken = 1;
  static constexpr std::uint64_t kLogPageToken = 2;
  static constexpr double kFetchTimeout = 2.0;  // s, for the whole list

  Loop& loop_;
  const nvme::HostOptions options_;
  EndpointListOwner& owner_;
  std::unique_ptr<nvme::Host> host_;
  nvme::Bytes log_page_;  // parts fetched so far
  bool fetching_ = false;
  bool changed_during_fetch_ = false;
  bool event_requested_ = false;
  Loop::TimerId fetch_timer_ = 0;
};

}  // namespace heronworks::gateway
