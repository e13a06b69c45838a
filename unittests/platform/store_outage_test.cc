/// \file
/// Guards against a host that keeps an old configuration, list of upstreams or
/// crash record for seconds after the store is back, because it still waits for
/// the answer to a request that the outage met.

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "platform/fleet_records.h"
#include "platform/fleet_topic.h"
#include "platform/store_source.h"
#include "simulated_store.h"

namespace platform {

namespace {

namespace gateway = teaselhill::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;
using teaselhill::Duration;
using teaselhill::ManualTimerService;
using teaselhill::TimePoint;

constexpr const char* kConfigTopic = "keyed.op";
constexpr const char* kUpstreamTopic = "keyed.servers";
constexpr const char* kFleetTopic = "keyed.fleet";
constexpr seconds kMaxDrainDelay{2};

/// Time after the return of the store, or after a change if that is later, by
/// which a host has to know of the change.
constexpr seconds kMaxLag{2};

/// Time after the return of a store by which a host that runs has to have the
/// newest configuration. The users allow two seconds; a host that is slow or
/// has a slow link needs the rest.
constexpr seconds kMaxConfigLag{1};

constexpr milliseconds kStep{5};

/// Bytes of a configuration with 350 routes, and the rate of a link of
/// 10 Mbit/s.
constexpr size_t kLargeConfigBytes = 100'000;
constexpr uint64_t kSlowLinkBytesPerSecond = 1'250'000;

/// All followers of the store in one host, with the options that they have
/// there. Changes are numbered.
class Host : private gateway::StateSource::Handler,
             private gateway::FleetLog::Handler {
 public:
  explicit Host(ManualTimerService& timers)
      : timers_(timers), store_(std::make_shared<SimulatedStore>(timers)) {}

  void Start() {
    source_ = std::make_unique<StoreSource>(
        timers_, store_, StoreSource::Bounds{kMaxDrainDelay, kMaxLag});
    fleet_log_ = std::make_unique<FleetTopic>(
        timers_, store_, gateway::HostRecord{"this", {}, "", ""});
    source_->Subscribe(*this);
    fleet_log_->Subscribe(*this);
  }

  /// Writes the next change of each topic. It is due at `due_from`. The
  /// configuration has `config_bytes` at least.
  void WriteChange(TimePoint due_from, size_t config_bytes = 0) {
    const std::string number = std::to_string(++changes_);
    store_->Write(kConfigTopic, "config",
                  R"({"version":)" + number +
                      R"(,"routes":[],"services":[],"limits":{}})" +
                      std::string(config_bytes, ' '));
    store_->Write(kUpstreamTopic, number, "");
    const KeyedRecord host =
        EncodeHost({"h" + number, {}, "", ""}, teaselhill::WallNow());
    store_->Write(kFleetTopic, host.key, *host.value);
    for (const char* topic : {kConfigTopic, kUpstreamTopic, kFleetTopic})
      due_from_[topic][changes_] = due_from;
  }

  /// Versions of the configuration that were passed on.
  const std::vector<int>& configs() const { return configs_; }
  void ReadUpstreams(Duration timeout, std::function<void(bool)> done) {
    source_->ReadUpstreams(timeout, std::move(done));
  }
  bool KnowsAllUpstreams() const {
    return due_from_.at(kUpstreamTopic).empty();
  }
  SimulatedStore& store() { return *store_; }
  void ExpectRecords() { fleet_log_->ExpectRecords(); }

  /// The longest time from when a change was due to its arrival, or until now
  /// if it has not arrived.
  Duration MaxLag(const std::string& topic) {
    Duration lag = max_lag_[topic];
    for (const auto& [number, due_from] : due_from_[topic])
      lag = std::max(lag, timers_.Now() - due_from);
    return lag;
  }

 private:
  void Arrived(const std::string& topic, int number) {
    auto& due_from = due_from_[topic];
    while (!due_from.empty() && due_from.begin()->first <= number) {
      max_lag_[topic] =
          std::max(max_lag_[topic], timers_.Now() - due_from.begin()->second);
      due_from.erase(due_from.begin());
    }
  }

  void OnConfig(std::shared_ptr<const gateway::RouteTable> routes) override {
    configs_.push_back(static_cast<int>(routes->version()));
    Arrived(kConfigTopic, configs_.back());
  }
  void OnListing(const gateway::UpstreamListing& listing) override {
    OnRecords(listing.records);
  }
  void OnRecords(const std::vector<gateway::UpstreamRecord>& records) override {
    for (const gateway::UpstreamRecord& record : records)
      Arrived(kUpstreamTopic, std::stoi(record.id));
  }
  void OnHostRecords(std::vector<gateway::HostRecord> records) override {
    for (const gateway::HostRecord& record : records)
      Arrived(kFleetTopic, std::stoi(record.host.substr(1)));
  }
  void OnCrashRecords(std::vector<gateway::CrashRecord>) override {}
  void OnTrialClaims(std::vector<gateway::TrialClaim>) override {}
  void OnVersions(std::vector<gateway::StreamOrigin>) override {}
  void OnRecordsListed() override {}
  void OnFleetRecordUnreadable(const std::string&) override {}
  void OnFleetLogAnswered() override {}
  void OnFleetLogUnreachable(const teaselhill::Error&) override {}
  void OnSourceAnswered() override {}
  void OnSourceUnreachable(const teaselhill::Error&) override {}
  void OnRecordUnreadable(const std::string&,
                          const teaselhill::Error&) override {}

  ManualTimerService& timers_;
  std::shared_ptr<SimulatedStore> store_;
  std::unique_ptr<StoreSource> source_;
  std::unique_ptr<FleetTopic> fleet_log_;
  int changes_ = 0;
  std::vector<int> configs_;
  std::map<std::string, std::map<int, TimePoint>> due_from_;
  std::map<std::string, Duration> max_lag_;
};

void Run(ManualTimerService& timers, Duration span) {
  for (const TimePoint end = timers.Now() + span; timers.Now() < end;)
    timers.Advance(kStep);
}

}  // namespace

TEST_CASE(
    "changes are in force within two seconds after an outage of the store") {
  struct Row {
    OutageStyle style;
    Duration outage;
    /// Whether the host starts during the outage.
    bool starts_in_outage;
  };
  const Row row = GENERATE(values<Row>({
      // Only what is in progress is lost.
      {OutageStyle::kLost, Duration{}, false},
      {OutageStyle::kLost, milliseconds(300), false},
      {OutageStyle::kLost, milliseconds(900), false},
      {OutageStyle::kLost, milliseconds(1600), false},
      {OutageStyle::kLost, seconds(3), false},
      {OutageStyle::kLost, seconds(8), false},
      {OutageStyle::kLost, seconds(8), true},
      {OutageStyle::kLate, seconds(1), false},
      {OutageStyle::kLate, seconds(8), false},
      {OutageStyle::kClosed, seconds(1), false},
      {OutageStyle::kClosed, seconds(8), false},
      {OutageStyle::kClosed, seconds(8), true},
  }));
  constexpr milliseconds kPhaseStep{95};
  constexpr seconds kMaxPhase{7};
  std::map<std::string, Duration> max_lag;
  for (Duration phase{}; phase < kMaxPhase; phase += kPhaseStep) {
    ManualTimerService timers;
    Host host(timers);
    const TimePoint back_at = timers.Now() + seconds(2) + phase + row.outage;
    host.WriteChange(row.starts_in_outage ? back_at
                                          : timers.Now() + seconds(1));
    if (!row.starts_in_outage)
      host.Start();
    Run(timers, seconds(2) + phase);
    host.store().BeginOutage(row.style);
    if (row.starts_in_outage)
      host.Start();
    // Some changes are made as soon as the store is back.
    if (row.outage > Duration{}) {
      Run(timers, row.outage);
      host.WriteChange(back_at);
    }
    host.store().EndOutage();
    host.WriteChange(back_at);
    for (int i = 0; i < 12; ++i) {
      Run(timers, milliseconds(250));
      host.WriteChange(timers.Now());
    }
    Run(timers, seconds(8));
    for (const char* topic : {kConfigTopic, kUpstreamTopic, kFleetTopic})
      max_lag[topic] = std::max(max_lag[topic], host.MaxLag(topic));
  }
  const double outage_s = teaselhill::ToSeconds(row.outage);
  CAPTURE(static_cast<int>(row.style), outage_s, row.starts_in_outage);
  for (const auto& [topic, lag] : max_lag) {
    CAPTURE(topic);
    CHECK(teaselhill::ToSeconds(lag) <= teaselhill::ToSeconds(kMaxLag));
  }
}

// Guards against a host that asks a silent store seldom, takes a large answer
// over a slow link for none, or waits long when the first answer is lost.
TEST_CASE(
    "a configuration is in force within a second after a silent store "
    "answers") {
  struct Row {
    const char* name;
    Duration outage;
    uint64_t link_rate;  ///< bytes per second; zero: no limit
    bool first_answer_lost;
  };
  const Row row = GENERATE(values<Row>({
      {"short outage", seconds(3), 0, false},
      {"long outage", seconds(8), 0, false},
      {"first answer lost", seconds(8), 0, true},
      {"slow link", seconds(8), kSlowLinkBytesPerSecond, false},
      {"slow link, first answer lost", seconds(8), kSlowLinkBytesPerSecond,
       true},
  }));
  constexpr milliseconds kPhaseStep{95};
  constexpr seconds kMaxPhase{4};
  constexpr int kQueuedChanges = 5;
  Duration max_lag{};
  for (Duration phase{}; phase < kMaxPhase; phase += kPhaseStep) {
    ManualTimerService timers;
    Host host(timers);
    host.store().SetLinkRate(row.link_rate);
    host.WriteChange(timers.Now());
    host.Start();
    Run(timers, seconds(2) + phase);
    host.store().BeginOutage(OutageStyle::kLost);
    Run(timers, row.outage);
    host.store().EndOutage();
    if (row.first_answer_lost)
      host.store().LoseNextAnswer(kConfigTopic);
    for (int i = 0; i < kQueuedChanges; ++i)
      host.WriteChange(timers.Now(), kLargeConfigBytes);
    Run(timers, seconds(8));
    max_lag = std::max(max_lag, host.MaxLag(kConfigTopic));
  }
  CAPTURE(row.name);
  CHECK(teaselhill::ToSeconds(max_lag) <= teaselhill::ToSeconds(kMaxConfigLag));
}

// Guards against a slow host that decodes all versions that queued up before it
// has the newest one in force, and against one that keeps an old version
// because the newest cannot be decoded.
TEST_CASE("only the newest readable one of several configurations is decoded") {
  struct Row {
    bool newest_is_readable;
    int expected;
  };
  const Row row = GENERATE(values<Row>({{true, 4}, {false, 4}}));
  ManualTimerService timers;
  Host host(timers);
  for (int i = 0; i < 4; ++i)
    host.WriteChange(timers.Now());
  if (!row.newest_is_readable)
    host.store().Write(kConfigTopic, "config", "{");
  host.store().Write(kConfigTopic, "other", "{}");
  host.Start();
  Run(timers, seconds(1));
  CHECK(host.configs() == std::vector<int>{row.expected});
}

TEST_CASE(
    "records that another host announces are read although an answer was "
    "lost") {
  ManualTimerService timers;
  Host host(timers);
  host.Start();
  const Duration phase = GENERATE(values<Duration>(
      {milliseconds(100), milliseconds(1700), milliseconds(4400)}));
  Run(timers, seconds(8) + phase);
  host.store().LoseRequests(kFleetTopic);
  host.WriteChange(timers.Now());
  host.ExpectRecords();
  Run(timers, seconds(8));
  CHECK(teaselhill::ToSeconds(host.MaxLag(kFleetTopic)) <=
        teaselhill::ToSeconds(kMaxLag));
}

// Guards against a host that takes an old list of upstreams for a current one,
// and against callers that wait for a store which does not answer.
TEST_CASE("a fresh read of the upstreams sees what was written before it") {
  struct Row {
    const char* name;
    Duration after_change;
    bool store_away;
    bool read;
  };
  constexpr milliseconds kTimeout{150};
  const Row row = GENERATE(values<Row>({
      {"just written", milliseconds(0), false, true},
      {"while a read is in progress", milliseconds(5), false, true},
      {"between reads", milliseconds(300), false, true},
      {"the store is away", milliseconds(300), true, false},
  }));
  INFO(row.name);
  ManualTimerService timers;
  Host host(timers);
  host.WriteChange(timers.Now());
  host.Start();
  Run(timers, seconds(3));
  if (row.store_away)
    host.store().BeginOutage(OutageStyle::kLost);
  host.WriteChange(timers.Now());
  Run(timers, row.after_change);
  std::vector<bool> results;
  for (int i = 0; i < 3; ++i)
    host.ReadUpstreams(kTimeout, [&](bool read) {
      results.push_back(read);
      CHECK(read == host.KnowsAllUpstreams());
    });
  const uint64_t requests = host.store().request_count();
  Run(timers, kTimeout);
  CHECK(results == std::vector<bool>(3, row.read));
  // Callers that wait share one read, beside one that was in progress.
  if (!row.store_away)
    CHECK(host.store().request_count() - requests <= 2);
}

// Guards against followers that learn of outages by asking the store more
// often.
TEST_CASE("a calm store is asked at most 945 times in ten minutes by a host") {
  ManualTimerService timers;
  Host host(timers);
  host.WriteChange(timers.Now());
  host.Start();
  Run(timers, seconds(5));
  const uint64_t before = host.store().request_count();
  Run(timers, seconds(600));
  CHECK(host.store().request_count() - before <= 945);
}

}  // namespace platform
