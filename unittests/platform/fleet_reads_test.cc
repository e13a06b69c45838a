/// \file
/// Guards against hosts that load the store with reads while crashes go on.

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "platform/fleet_topic.h"
#include "simulated_store.h"

namespace platform {

namespace {

namespace gateway = teaselhill::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;
using teaselhill::Duration;
using teaselhill::ManualTimerService;
using teaselhill::TimePoint;

constexpr milliseconds kStep{5};

class NoHandler : public gateway::FleetLog::Handler {
 public:
  void OnCrashRecords(std::vector<gateway::CrashRecord>) override {}
  void OnHostRecords(std::vector<gateway::HostRecord>) override {}
  void OnTrialClaims(std::vector<gateway::TrialClaim>) override {}
  void OnVersions(std::vector<gateway::StreamOrigin>) override {}
  void OnRecordsListed() override {}
  void OnFleetRecordUnreadable(const std::string&) override {}
  void OnFleetLogAnswered() override {}
  void OnFleetLogUnreachable(const teaselhill::Error&) override {}
};

/// Hosts that follow the fleet's topic in one store.
class Fleet {
 public:
  explicit Fleet(int size) {
    for (int i = 0; i < size; ++i) {
      hosts_.push_back(std::make_unique<FleetTopic>(
          timers_, store_,
          gateway::HostRecord{"h" + std::to_string(i), {}, "", ""}));
      hosts_.back()->Subscribe(handler_);
      hosts_.back()->AnnounceHost();
    }
    Run(seconds(20));
  }

  /// One host writes a crash record and tells the others to expect it.
  void WriteRecord() {
    gateway::CrashRecord crash;
    crash.id = ++records_;
    crash.key = {1, crash.id};
    crash.upstream = {"e", 1};
    hosts_[crash.id % hosts_.size()]->Append(
        std::vector<gateway::CrashRecord>{crash});
    for (const auto& host : hosts_)
      host->ExpectRecords();
  }

  void Run(Duration span) {
    for (const TimePoint end = timers_.Now() + span; timers_.Now() < end;)
      timers_.Advance(kStep);
  }
  uint64_t request_count() const { return store_->request_count(); }

 private:
  ManualTimerService timers_;
  std::shared_ptr<SimulatedStore> store_ =
      std::make_shared<SimulatedStore>(timers_);
  NoHandler handler_;
  std::vector<std::unique_ptr<FleetTopic>> hosts_;
  uint64_t records_ = 0;
};

}  // namespace

// Hosts hear of crashes from each other; the read that waits at the store
// returns with the record.
TEST_CASE("a host reads at most four times for one crash record") {
  const int hosts = GENERATE(7, 88, 195);
  Fleet fleet(hosts);
  const uint64_t before = fleet.request_count();
  fleet.WriteRecord();
  fleet.Run(seconds(10));
  CHECK(fleet.request_count() - before <= 4U * hosts);
}

// Each read is paid for, and the users' store serves 6,000 of them a second.
TEST_CASE("all hosts read at most 250 times a second while crashes go on") {
  const int hosts = GENERATE(7, 88, 195, 250, 350);
  constexpr milliseconds kRecordInterval{50};
  constexpr seconds kSpan{10};
  CAPTURE(hosts);
  Fleet fleet(hosts);
  const uint64_t before = fleet.request_count();
  for (Duration at{}; at < kSpan; at += kRecordInterval) {
    fleet.WriteRecord();
    fleet.Run(kRecordInterval);
  }
  CHECK(fleet.request_count() - before <= 250U * kSpan.count());
}

}  // namespace platform
