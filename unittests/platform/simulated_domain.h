/// \file
/// The hosts of one failure domain on simulated time, which read a store
/// through each other.

#ifndef TEASELHILL_UNITTESTS_PLATFORM_SIMULATED_DOMAIN_H_
#define TEASELHILL_UNITTESTS_PLATFORM_SIMULATED_DOMAIN_H_

#include <algorithm>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "platform/fleet_records.h"
#include "platform/fleet_topic.h"
#include "platform/store_source.h"
#include "simulated_store.h"

namespace platform::simulated_domain {

namespace gateway = teaselhill::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;
using teaselhill::Duration;
using teaselhill::ManualTimerService;
using teaselhill::ResultCode;
using teaselhill::TimePoint;

inline constexpr const char* kConfigTopic = "keyed.op";
inline constexpr const char* kUpstreamTopic = "keyed.servers";
inline constexpr milliseconds kStep{5};
inline constexpr seconds kBound{4};
inline constexpr seconds kFleetBound{8};

/// Calls between simulated hosts. A host that is cut off hears nothing, and one
/// that is frozen answers when the call has timed out.
class Network {
 public:
  explicit Network(teaselhill::TimerService& timers) : timers_(timers) {}

  struct Host : gateway::PeerCalls {
    Host(Network& network, std::string address)
        : network(network), address(std::move(address)) {}
    void Serve(const std::string& path, CallHandler handler) override {
      network.handlers_[address] = std::move(handler);
    }
    void Call(const std::string& to,
              const std::string& path,
              std::string body,
              Duration timeout,
              CallCallback callback) override {
      network.Call(address, to, std::move(body), timeout, std::move(callback));
    }
    Network& network;
    std::string address;
  };

  int calls_by(const std::string& address) const {
    const auto found = calls_by_.find(address);
    return found == calls_by_.end() ? 0 : found->second;
  }

  /// The host has no records of the topic for others.
  void SetLacking(const std::string& address, const std::string& topic) {
    lacking_[address] = topic;
  }

  void SetCut(const std::string& address, bool cut) {
    if (cut)
      cut_.insert(address);
    else
      cut_.erase(address);
  }

 private:
  void Call(const std::string& from,
            const std::string& to,
            std::string body,
            Duration timeout,
            gateway::PeerCalls::CallCallback callback) {
    ++calls_by_[from];
    const bool lost = cut_.count(from) + cut_.count(to) > 0;
    const uint64_t key = ++last_;
    calls_[key] =
        timers_.After(lost ? timeout : Duration(kStep),
                      [this, key, lost, to, body, callback](TimePoint) {
                        const auto done = std::move(calls_.at(key));
                        calls_.erase(key);
                        if (lost || cut_.count(to) != 0)
                          return callback({ResultCode::kTimedOut, "lost"});
                        const auto lacking = lacking_.find(to);
                        if (lacking != lacking_.end() &&
                            body.find(lacking->second) != std::string::npos)
                          return callback(std::string());
                        callback(handlers_.at(to)(body));
                      });
  }

  teaselhill::TimerService& timers_;
  std::map<std::string, gateway::PeerCalls::CallHandler> handlers_;
  std::set<std::string> cut_;
  std::map<std::string, std::string> lacking_;  ///< topic, by address
  std::map<uint64_t, teaselhill::TimerSubscription> calls_;
  std::map<std::string, int> calls_by_;
  uint64_t last_ = 0;
};

/// A store as one host reaches it: its answers may be lost or the host be
/// turned away, while others are served.
class Link : public Store {
 public:
  Link(teaselhill::TimerService& timers, SimulatedStore& store)
      : timers_(timers), store_(store) {}

  StoreRequestId ReadRecords(const std::string& topic,
                             uint64_t from_offset,
                             Duration max_wait,
                             Duration timeout,
                             Callback<ReadPage> callback) override {
    ++requests_[topic];
    const StoreRequestId id = ++last_;
    reads_[id] = {timers_.Now() + max_wait + timeout, callback, {}, {}};
    if (lose_next_ > 0 || cut_) {
      lose_next_ -= lose_next_ > 0 ? 1 : 0;
      Lose(id);
      return id;
    }
    reads_[id].at_store = store_.ReadRecords(
        topic, from_offset, max_wait, timeout, [this, id](auto page) {
          const Read read = std::move(reads_.at(id));
          reads_.erase(id);
          read.callback(std::move(page));
        });
    return id;
  }
  StoreRequestId ListKeys(const std::string& topic,
                          const std::string& after_key,
                          Callback<ListPage> callback) override {
    const StoreRequestId id = ++last_;
    listings_[id] = store_.ListKeys(topic, after_key, std::move(callback));
    return id;
  }
  void AppendRecords(const std::string&,
                     const std::vector<KeyedRecord>&,
                     Callback<uint64_t>) override {}
  void Cancel(StoreRequestId request) override {
    const auto read = reads_.find(request);
    if (read != reads_.end()) {
      if (read->second.at_store)
        store_.Cancel(*read->second.at_store);
      reads_.erase(read);
    }
    if (listings_.count(request) != 0)
      store_.Cancel(listings_[request]);
  }
  std::optional<TimePoint> LastReceivedAt(StoreRequestId) const override {
    return std::nullopt;
  }

  /// The answer to the read in progress is lost, and to the next `count` - 1.
  void LoseNext(int count) {
    if (count == 0)
      return;
    LoseReads();
    lose_next_ = count - 1;
  }
  /// While it is cut, no read is answered.
  void SetCut(bool cut) {
    cut_ = cut;
    if (cut)
      LoseReads();
  }
  /// Reads so far.
  int requests(const std::string& topic) const {
    const auto found = requests_.find(topic);
    return found == requests_.end() ? 0 : found->second;
  }

 private:
  struct Read {
    TimePoint given_up_at;
    Callback<ReadPage> callback;
    std::optional<StoreRequestId> at_store;
    teaselhill::TimerSubscription give_up_timer;
  };

  void LoseReads() {
    for (const auto& [id, read] : reads_) {
      if (read.at_store)
        Lose(id);
    }
  }

  void Lose(StoreRequestId id) {
    Read& read = reads_.at(id);
    if (read.at_store)
      store_.Cancel(*std::exchange(read.at_store, std::nullopt));
    read.give_up_timer =
        timers_.After(read.given_up_at - timers_.Now(), [this, id](TimePoint) {
          const Read lost = std::move(reads_.at(id));
          reads_.erase(id);
          lost.callback({ResultCode::kTimedOut, "lost"});
        });
  }

  teaselhill::TimerService& timers_;
  SimulatedStore& store_;
  std::map<StoreRequestId, Read> reads_;
  std::map<StoreRequestId, StoreRequestId> listings_;
  StoreRequestId last_ = 0;
  std::map<std::string, int> requests_;  ///< by topic
  int lose_next_ = 0;
  bool cut_ = false;
};

/// The hosts of one failure domain.
class Domain {
 public:
  struct Host : gateway::StateSource::Handler, gateway::FleetLog::Handler {
    Host(Domain& domain, int number)
        : name("h" + std::to_string(100 + number)),
          timers(domain.timers_),
          calls(domain.network_, name),
          link(std::make_shared<Link>(domain.timers_, *domain.store_)),
          source(
              std::make_unique<StoreSource>(domain.timers_,
                                            link,
                                            StoreSource::Bounds{kBound, kBound},
                                            calls,
                                            gateway::ReaderChoice(name, "d"))),
          fleet_topic(std::make_unique<FleetTopic>(
              domain.timers_,
              source->store(),
              gateway::HostRecord{name, {}, name, "", "d"})) {
      source->Subscribe(*this);
      fleet_topic->Subscribe(*this);
    }
    void OnConfig(std::shared_ptr<const gateway::RouteTable> routes) override {
      version = static_cast<int>(routes->version());
    }
    void OnListing(const gateway::UpstreamListing&) override {}
    void OnRecords(const std::vector<gateway::UpstreamRecord>&) override {}
    void OnSourceAnswered() override {}
    void OnSourceUnreachable(const teaselhill::Error&) override {}
    void OnRecordUnreadable(const std::string&,
                            const teaselhill::Error&) override {}
    void OnCrashRecords(std::vector<gateway::CrashRecord> records) override {
      for (const gateway::CrashRecord& record : records)
        crash = std::max(crash, static_cast<int>(record.id));
    }
    void OnHostRecords(std::vector<gateway::HostRecord>) override {}
    void OnTrialClaims(std::vector<gateway::TrialClaim>) override {}
    void OnVersions(std::vector<gateway::StreamOrigin>) override {}
    void OnRecordsListed() override {}
    void OnFleetRecordUnreadable(const std::string&) override {}
    void OnFleetLogAnswered() override {}
    void OnFleetLogUnreachable(const teaselhill::Error&) override {}

    std::string name;
    teaselhill::TimerService& timers;
    Network::Host calls;
    std::shared_ptr<Link> link;
    std::unique_ptr<StoreSource> source;
    std::unique_ptr<FleetTopic> fleet_topic;
    int version = 0;
    int crash = 0;  ///< newest record that is known
    /// Since when nothing disturbs the host.
    TimePoint calm_since{};
  };

  explicit Domain(int size) {
    WriteConfig();
    std::vector<gateway::HostRecord> records;
    for (int i = 0; i < size; ++i) {
      hosts_.emplace_back(*this, i);
      records.push_back({hosts_.back().name, {}, hosts_.back().name, "", "d"});
    }
    for (Host& host : hosts_)
      host.source->OnHosts(records);
    Run(seconds(5));
  }

  void WriteConfig() {
    ++version_;
    store_->Write(kConfigTopic, "config",
                  R"({"version":)" + std::to_string(version_) +
                      R"(,"routes":[],"services":[],"limits":{}})");
    written_at_[version_] = timers_.Now();
  }

  void WriteCrash() {
    gateway::CrashRecord crash;
    crash.id = static_cast<uint64_t>(++crash_);
    crash.key = {1, crash.id};
    crash.upstream = {"e", 1};
    const KeyedRecord record = EncodeCrash(crash, teaselhill::WallNow());
    store_->Write(FleetTopic::kTopic, record.key, *record.value);
    crash_written_at_[crash_] = timers_.Now();
  }

  void WriteUpstream() { store_->Write(kUpstreamTopic, "u", "{}"); }

  void SetStoreCut(bool cut) {
    for (Host& host : hosts_)
      host.link->SetCut(cut);
  }

  void Run(Duration span) {
    for (const TimePoint end = timers_.Now() + span; timers_.Now() < end;) {
      timers_.Advance(kStep);
      Check();
    }
  }

  Host& host(size_t index) {
    auto it = hosts_.begin();
    std::advance(it, index);
    return *it;
  }
  std::list<Host>& hosts() { return hosts_; }
  Network& network() { return network_; }
  TimePoint now() const { return timers_.Now(); }
  int behind() const { return behind_; }
  int went_back() const { return went_back_; }
  /// Reads of the topic by the hosts from `first` on.
  int requests(const std::string& topic, size_t first = 0) const {
    int sum = 0;
    size_t index = 0;
    for (const Host& host : hosts_)
      sum += index++ < first ? 0 : host.link->requests(topic);
    return sum;
  }
  int requests_of_all_topics(size_t first = 0) const {
    return requests(kConfigTopic, first) + requests(kUpstreamTopic, first) +
           requests(FleetTopic::kTopic, first);
  }

 private:
  using WriteTimes = std::map<int, TimePoint>;  ///< by number
  static int NewestBefore(const WriteTimes& written_at, TimePoint time) {
    int newest = 0;
    for (const auto& [number, at] : written_at)
      newest = at <= time ? number : newest;
    return newest;
  }

  /// Counts hosts in touch that are behind their bound.
  void Check() {
    const TimePoint due_at = timers_.Now() - kBound;
    const TimePoint crash_due_at = timers_.Now() - kFleetBound;
    const int due = NewestBefore(written_at_, due_at);
    const int crash_due = NewestBefore(crash_written_at_, crash_due_at);
    for (Host& host : hosts_) {
      const bool in_touch = host.calm_since <= due_at;
      behind_ += in_touch && host.version < due ? 1 : 0;
      const bool knows_crashes =
          host.calm_since > crash_due_at || host.crash >= crash_due;
      behind_ += knows_crashes ? 0 : 1;
      int& seen = seen_[host.name];
      went_back_ += host.version < seen ? 1 : 0;
      seen = host.version;
    }
  }

  ManualTimerService timers_;
  std::shared_ptr<SimulatedStore> store_ =
      std::make_shared<SimulatedStore>(timers_);
  Network network_{timers_};
  std::list<Host> hosts_;
  int version_ = 0;
  WriteTimes written_at_;
  int crash_ = 0;
  WriteTimes crash_written_at_;
  std::map<std::string, int> seen_;
  int behind_ = 0;
  int went_back_ = 0;
};

}  // namespace platform::simulated_domain

#endif  // TEASELHILL_UNITTESTS_PLATFORM_SIMULATED_DOMAIN_H_
