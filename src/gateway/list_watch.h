// The node list: asked for and watched through a discovery controller, saved to a file for the next start.
#pragma once

#include "nvme/host.h"
#include "state.h"

namespace heronworks::gateway {

// One line of the list, before its address became an index.
struct ListedNode {
  Address address;
  int zone = 0;
  int shard = 0;
  NodeState listing = NodeState::kReady;
  std::uint64_t came_up = 0;  // ns since 1970; 0: long ago
};

// Pure: a log page's bytes to entries and back. Nothing, with a reason, if they are not a list of ours.
std::optional<std::vector<ListedNode>> decode_list(nvme::ByteView bytes, std::string& reason);
nvme::Bytes encode_list(const std::vector<ListedNode>& nodes, std::uint64_t generation,
                        const std::string& subsystem);

// The list as it was last saved; nothing, with a reason, if there is none or it is torn. A save goes to a
// file beside it and is renamed, with a checksum over all: a crash leaves the old list or the new one, and
// what a crash of the machine tore is known by its checksum.
std::optional<std::vector<ListedNode>> load_saved_list(const std::string& path, std::string& reason);
bool save_list(const std::string& path, const std::vector<ListedNode>& nodes);

class ListOwner {
 public:
  virtual ~ListOwner() = default;
  virtual void list_came(std::vector<ListedNode> nodes) = 0;  // whole
  virtual void list_failed(const std::string& reason) = 0;
};

class ListWatch final : public nvme::HostHandler {
 public:
  ListWatch(Loop& loop, nvme::HostOptions options, ListOwner& owner);
  // Connects if need be, fetches the list, and from then on again whenever it changes.
  // Answered by list_came or list_failed; a watch that breaks later is told as list_failed, too.
  void watch();

  void on_ready() override;
  void on_completed(std::uint64_t token, nvme::Completion&& completion) override;
  void on_disconnected(const std::string& reason) override;

 private:
  void fetch();
  void wait_for_event();

  static constexpr std::uint64_t kEvent = 1;
  static constexpr std::uint64_t kPage = 2;
  static constexpr double kCallTime = 2.0;  // s after which a call is given up

  Loop& loop_;
  const nvme::HostOptions options_;
  ListOwner& owner_;
  std::unique_ptr<nvme::Host> host_;
  nvme::Bytes page_;  // parts fetched so far
  bool fetching_ = false;
  bool again_ = false;  // the list changed while it was fetched
  bool event_out_ = false;
  Loop::TimerId timer_ = 0;
};

}  // namespace heronworks::gateway
