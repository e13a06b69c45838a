/// \file
/// Guards against hosts that act on old configurations or lists of upstreams
/// because they learn them from other hosts, and against fleets in which each
/// host reads the store for itself.

#include "platform/shared_store.h"

#include <catch2/catch.hpp>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "platform/fleet_records.h"
#include "platform/fleet_topic.h"
#include "platform/store_source.h"
#include "simulated_store.h"
#include "teaselhill/support/rng.h"

namespace platform {

namespace {

namespace gateway = teaselhill::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;
using teaselhill::Duration;
using teaselhill::ManualTimerService;
using teaselhill::Result;
using teaselhill::ResultCode;
using teaselhill::TimePoint;

constexpr const char* kConfigTopic = "keyed.op";
constexpr const char* kUpstreamTopic = "keyed.servers";
constexpr milliseconds kStep{5};
constexpr seconds kBound{4};
constexpr seconds kFleetBound{8};

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
                        callback(handlers_.at(to)(body));
                      });
  }

  teaselhill::TimerService& timers_;
  std::map<std::string, gateway::PeerCalls::CallHandler> handlers_;
  std::set<std::string> cut_;
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

}  // namespace

TEST_CASE("the reads of a calm failure domain do not grow with its hosts") {
  struct Row {
    int hosts;
    double max_reads_per_second;
    double max_fleet_reads_per_second;
  };
  const Row row =
      GENERATE(values<Row>({{13, 5, 1.1}, {26, 5, 1.1}, {78, 14, 3.1}}));
  CAPTURE(row.hosts);
  Domain domain(row.hosts);
  const auto reads = [&domain] {
    return domain.requests(kConfigTopic) + domain.requests(kUpstreamTopic);
  };
  const int before = reads();
  const int fleet_before = domain.requests(FleetTopic::kTopic);
  domain.Run(seconds(20));
  CHECK(reads() - before <= 20 * row.max_reads_per_second);
  CHECK(domain.requests(FleetTopic::kTopic) - fleet_before <=
        20 * row.max_fleet_reads_per_second);
  CHECK(domain.behind() == 0);
}

// Each record wakes all reads that wait for it at the store.
TEST_CASE("the reads of crash records do not grow with the hosts") {
  const int hosts = GENERATE(13, 26);
  CAPTURE(hosts);
  Domain domain(hosts);
  const int before = domain.requests(FleetTopic::kTopic);
  for (int i = 0; i < 100; ++i) {
    domain.WriteCrash();
    for (Domain::Host& host : domain.hosts())
      host.fleet_topic->ExpectRecords();
    domain.Run(milliseconds(100));
  }
  CHECK(domain.requests(FleetTopic::kTopic) - before <= 10 * 2 * 2);
  domain.Run(seconds(3));
  for (const Domain::Host& host : domain.hosts())
    CHECK(host.crash == 100);
}

// A held request waits for the order of the claims.
TEST_CASE("a host with a claim reads the records of the fleet for itself") {
  Domain domain(20);
  Domain::Host& host = domain.host(15);
  host.fleet_topic->Append(std::vector<gateway::TrialClaim>{{}});
  domain.Run(milliseconds(100));
  domain.WriteCrash();
  domain.Run(milliseconds(20));
  CHECK(host.crash == 1);
  domain.Run(seconds(10));
  const int before = host.link->requests(FleetTopic::kTopic);
  domain.Run(seconds(5));
  CHECK(host.link->requests(FleetTopic::kTopic) == before);
}

// While the store is in doubt, a host asks again at once.
TEST_CASE("a host whose own read failed does not ask its reader on and on") {
  Domain domain(20);
  Domain::Host& host = domain.host(15);
  host.link->SetCut(true);
  host.source->ReadUpstreams(milliseconds(150), [](bool) {});
  domain.Run(seconds(2));
  const int before = domain.network().calls_by(host.name);
  domain.Run(seconds(10));
  CHECK(domain.network().calls_by(host.name) - before <= 10 * 4);
}

// The reads of all hosts are paid for also while the store is away, and those
// at its return meet all at once.
TEST_CASE("few hosts ask a store that is away, and all hear of its return") {
  const milliseconds span =
      GENERATE(milliseconds(3000), milliseconds(4510), milliseconds(9000));
  CAPTURE(span.count());
  constexpr size_t kReaders = 2;
  Domain domain(20);
  domain.SetStoreCut(true);
  domain.Run(seconds(1));
  const int before = domain.requests_of_all_topics(kReaders);
  domain.Run(span - seconds(1));
  const int followers = 18;
  const double per_second = 3.0 * followers;  // one of each topic
  CHECK(domain.requests_of_all_topics(kReaders) - before <=
        per_second * (teaselhill::ToSeconds(span) - 1) + 3.0 * followers);
  domain.SetStoreCut(false);
  domain.WriteConfig();
  domain.WriteCrash();
  const int at_return = domain.requests_of_all_topics(kReaders);
  domain.Run(milliseconds(900));
  for (const Domain::Host& host : domain.hosts())
    CHECK(host.version == 2);
  domain.Run(seconds(9));
  for (const Domain::Host& host : domain.hosts())
    CHECK(host.crash == 1);
  CHECK(domain.requests_of_all_topics(kReaders) - at_return <= 4 * followers);
}

TEST_CASE("a change reaches all hosts in time whatever becomes of readers") {
  struct Row {
    const char* name;
    int readers_cut;          ///< from the other hosts
    int readers_turned_away;  ///< by the store
    int answers_lost;         ///< of each reader, by the store
  };
  const Row row = GENERATE(values<Row>({
      {"calm", 0, 0, 0},
      {"one reader is cut off", 1, 0, 0},
      {"all readers are cut off", 2, 0, 0},
      {"the store turns one reader away", 0, 1, 0},
      {"the store turns all readers away", 0, 2, 0},
      {"answers to the readers are lost", 0, 0, 1},
      {"answers to the readers are lost again", 0, 0, 2},
  }));
  INFO(row.name);
  const milliseconds phase = GENERATE(milliseconds(0), milliseconds(370),
                                      milliseconds(740), milliseconds(1110));
  Domain domain(20);
  domain.Run(phase);
  for (int i = 0; i < 2; ++i) {
    Domain::Host& reader = domain.host(static_cast<size_t>(i));
    if (i < row.readers_cut)
      domain.network().SetCut(reader.name, true);
    reader.link->SetCut(i < row.readers_turned_away);
    reader.link->LoseNext(row.answers_lost);
    if (i < row.readers_cut || i < row.readers_turned_away ||
        row.answers_lost > 1)
      reader.calm_since = TimePoint::max();
  }
  domain.Run(milliseconds(20));
  domain.WriteConfig();
  domain.WriteCrash();
  domain.Run(seconds(10));
  CHECK(domain.behind() == 0);
}

namespace {

/// Changes, cuts and lost answers in a drawn order.
void CheckDrawnDay(uint64_t seed) {
  CAPTURE(seed);
  teaselhill::Rng rng(seed);
  Domain domain(9 + static_cast<int>(rng.Uniform() * 20));
  for (int step = 0; step < 40; ++step) {
    domain.Run(milliseconds(static_cast<int>(rng.Uniform() * 800)));
    const auto index = static_cast<size_t>(
        rng.Uniform() * static_cast<double>(domain.hosts().size()));
    Domain::Host& host = domain.host(index);
    const double choice = rng.Uniform();
    if (choice < 0.3) {
      domain.WriteConfig();
      domain.WriteCrash();
    } else if (choice < 0.5) {
      domain.network().SetCut(host.name, true);
      host.link->SetCut(rng.Uniform() < 0.5);
      host.calm_since = TimePoint::max();
    } else if (choice < 0.7) {
      host.link->LoseNext(1);
    } else {
      for (Domain::Host& other : domain.hosts()) {
        if (other.calm_since != TimePoint::max())
          continue;
        domain.network().SetCut(other.name, false);
        other.link->SetCut(false);
        other.calm_since = domain.now();
      }
    }
  }
  CHECK(domain.behind() == 0);
  CHECK(domain.went_back() == 0);
}

}  // namespace

TEST_CASE("hosts in touch are never behind their bound, whatever the seed") {
  CheckDrawnDay(GENERATE(range(uint64_t{1}, uint64_t{101})));
}

// By hand: build/platform_tests "[long]"
TEST_CASE("the same with 10,000 seeds", "[.][long]") {
  for (uint64_t seed = 101; seed <= 10100; ++seed)
    CheckDrawnDay(seed);
}

TEST_CASE("a tail passes on only what it knows") {
  TopicTail tail;
  const TimePoint now(seconds(50));
  ReadPage page;
  page.era = 2;
  page.end_offset = 12;
  page.records = {{10, "a", "1"}, {11, "b", std::nullopt}};
  tail.Add(10, page, now);
  struct Row {
    const char* name;
    uint64_t from;
    StoreEra era;
    std::optional<size_t> records;
  };
  const Row row = GENERATE(values<Row>({
      {"all", 10, 2, 2},
      {"the rest", 11, 2, 1},
      {"nothing new", 12, 2, 0},
      {"before the tail", 9, 2, std::nullopt},
      {"beyond its end", 13, 2, std::nullopt},
      {"an era that is not known here", 10, 3, std::nullopt},
      {"an era that has ended", 10, 1, 0},
  }));
  INFO(row.name);
  const auto shared = tail.PageFor({"t", row.from, row.era}, now + seconds(1));
  REQUIRE(shared.has_value() == row.records.has_value());
  if (!shared)
    return;
  CHECK(shared->records.size() == *row.records);
  CHECK(shared->shared_age == seconds(1));
  const TailQuery query = {"t", row.from, row.era};
  const std::string text = EncodeTailPage(query, *shared);
  // A late answer to an earlier question must not be taken for this one.
  CHECK_FALSE(DecodeTailPage({"other", row.from, row.era}, text));
  CHECK_FALSE(DecodeTailPage({"t", row.from + 1, row.era}, text));
  const Result<ReadPage> decoded = DecodeTailPage(query, text);
  REQUIRE(decoded);
  CHECK(decoded->era == 2);
  CHECK(decoded->end_offset == 12);
  CHECK(decoded->records.size() == *row.records);
}

TEST_CASE("a tail that missed records or met a new era begins anew") {
  TopicTail tail;
  const TimePoint now(seconds(50));
  ReadPage page;
  page.era = 1;
  page.end_offset = 11;
  page.records = {{10, "a", "1"}};
  tail.Add(10, page, now);
  ReadPage later = page;
  const bool new_era = GENERATE(true, false);
  CAPTURE(new_era);
  later.era = new_era ? 2 : 1;
  later.end_offset = 21;
  later.records = {{20, "b", "2"}};
  tail.Add(20, later, now);
  CHECK(tail.size() == 1);
  CHECK_FALSE(tail.PageFor({"t", 10, later.era}, now));
  // A page that is only a part does not tell that no others follow.
  TopicTail partial;
  page.end_offset = 30;
  partial.Add(10, page, now);
  CHECK_FALSE(partial.PageFor({"t", 10, 1}, now));
}

TEST_CASE("a page of a tail has a bounded size and leaves no gap") {
  TopicTail tail;
  ReadPage page;
  page.end_offset = 6;
  for (uint64_t offset = 0; offset < 6; ++offset)
    page.records.push_back({offset, "k", std::string(150 << 10, 'x')});
  tail.Add(0, page, TimePoint(seconds(50)));
  uint64_t next = 0;
  int pages = 0;
  while (next < 6) {
    const auto part = tail.PageFor({"t", next, 0}, TimePoint(seconds(50)));
    REQUIRE(part);
    REQUIRE_FALSE(part->records.empty());
    CHECK(part->records.size() <= 3);
    CHECK(part->records.front().offset == next);
    CHECK(part->end_offset == 6);
    next = part->records.back().offset + 1;
    ++pages;
  }
  CHECK(pages == 2);
}

TEST_CASE("a text that is no question or page is refused") {
  const std::string text = GENERATE(
      std::string(), std::string("{}"), std::string("\xa0", 1),
      std::string(1 << 12, '\x81'), EncodeTailQuery({"t", 1, 2}).substr(0, 9));
  CHECK_FALSE(DecodeTailQuery(text));
  CHECK_FALSE(DecodeTailPage({"t", 1, 2}, text));
}

}  // namespace platform
