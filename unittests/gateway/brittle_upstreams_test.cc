/// \file
/// Guards against brittle upstreams that end because the hosts together send
/// them more than they have room for, and against room that is left unused.

#include "teaselhill/gateway/brittle_upstreams.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <list>

namespace teaselhill::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = TimePoint(std::chrono::hours(5));

UpstreamEntry MakeUpstream(const std::string& id, int slots) {
  UpstreamEntry upstream;
  upstream.id = id;
  upstream.service = "llm";
  upstream.slots = slots;
  return upstream;
}

UpstreamProcess ProcessOf(const UpstreamEntry& upstream) {
  return {upstream.id, upstream.incarnation};
}

/// Number of requests that the host may have open at the upstream.
int CountRoom(BrittleUpstreams& host,
              const UpstreamEntry& upstream,
              bool urgent,
              TimePoint now) {
  std::vector<BrittleUpstreams::OpenRequest> open;
  while (open.size() < 1000 && host.HasRoom(upstream, urgent, now))
    open.push_back(host.Open(upstream.id));
  return static_cast<int>(open.size());
}

struct FleetRow {
  const char* name;
  size_t hosts;
  size_t upstreams;
  int slots;
  int room;        ///< requests that an upstream has at once
  int later_room;  ///< the same from the middle of the run on
  double tolerated_refusals;
  double load;  ///< requests that arrive, as a multiple of what can be served
};

/// Brittle upstreams and hosts that get unlike parts of the traffic.
class FleetSimulation {
 public:
  FleetSimulation(const FleetRow& row, uint64_t seed) : row_(row), rng_(seed) {
    for (size_t number = 0; number < row.upstreams; ++number)
      upstreams_.emplace_back(MakeUpstream(std::to_string(number), row.slots));
    for (size_t index = 0; index < row.hosts; ++index) {
      hosts_.emplace_back(rng_.Next());
      hosts_.back().SetPosition({index, row.hosts});
      for (const Upstream& upstream : upstreams_)
        hosts_.back().OnAnswer(upstream.entry, row.tolerated_refusals, kStart,
                               kStart);
    }
  }

  void Run() {
    for (now_ = kStart; now_ < kStart + kDuration; now_ += kStep) {
      room_ = now_ < kStart + kDuration / 2 ? row_.room : row_.later_room;
      TellRefusals();
      double arrivals = row_.load * room_ *
                        static_cast<double>(row_.upstreams) * ToSeconds(kStep) /
                        ToSeconds(kMeanTime);
      for (; rng_.Uniform() < arrivals; arrivals -= 1)
        Arrive();
      for (Upstream& upstream : upstreams_) {
        upstream.running.remove_if(
            [this](const Running& request) { return request.ends_at <= now_; });
        if (now_ < kStart + kSettling)
          continue;
        used_ += std::min<double>(static_cast<double>(upstream.running.size()),
                                  room_);
        offered_ += room_;
      }
    }
  }

  int falls() const { return falls_; }
  double used_part() const { return used_ / offered_; }

 private:
  static constexpr milliseconds kStep{1};
  static constexpr seconds kDuration{60};
  static constexpr seconds kSettling{10};
  static constexpr milliseconds kMeanTime{600};
  static constexpr milliseconds kMessageDelay{10};

  struct Running {
    TimePoint ends_at;
    BrittleUpstreams::OpenRequest open;
  };
  struct Upstream {
    explicit Upstream(UpstreamEntry entry) : entry(std::move(entry)) {}

    UpstreamEntry entry;
    std::list<Running> running;
    std::deque<TimePoint> refused_at;  ///< within a second
  };
  struct Told {
    TimePoint at;
    size_t by;
    const UpstreamEntry* upstream;
  };

  /// At any upstream with room, at one of the hosts, of which those with a
  /// higher index get more of the traffic.
  void Arrive() {
    const auto index = static_cast<size_t>(std::sqrt(rng_.Uniform()) *
                                           static_cast<double>(row_.hosts));
    BrittleUpstreams& host = hosts_[index];
    const size_t first = rng_.Below(row_.upstreams);
    for (size_t i = 0; i < row_.upstreams; ++i) {
      Upstream& upstream = upstreams_[(first + i) % row_.upstreams];
      if (host.HasRoom(upstream.entry, /*urgent=*/true, now_))
        return Send(index, upstream);
    }
  }

  void Send(size_t index, Upstream& upstream) {
    auto open = hosts_[index].Open(upstream.entry.id);
    if (static_cast<int>(upstream.running.size()) < room_) {
      const double seconds =
          ToSeconds(kMeanTime) * (1.0 / 3 + 4.0 / 3 * rng_.Uniform());
      upstream.running.push_back(
          {now_ + FromSeconds(seconds), std::move(open)});
      return;
    }
    if (hosts_[index].OnRefused(upstream.entry, /*local=*/true, now_))
      told_.push_back({now_ + kMessageDelay, index, &upstream.entry});
    std::deque<TimePoint>& refused_at = upstream.refused_at;
    refused_at.push_back(now_);
    while (refused_at.front() <= now_ - std::chrono::seconds(1))
      refused_at.pop_front();
    if (static_cast<double>(refused_at.size()) <= row_.tolerated_refusals)
      return;
    ++falls_;
    refused_at.clear();
    upstream.running.clear();
  }

  void TellRefusals() {
    while (!told_.empty() && told_.front().at <= now_) {
      for (size_t index = 0; index < hosts_.size(); ++index) {
        if (index != told_.front().by)
          hosts_[index].OnRefused(*told_.front().upstream, /*local=*/false,
                                  now_);
      }
      told_.pop_front();
    }
  }

  FleetRow row_;
  Rng rng_;
  std::deque<Upstream> upstreams_;
  std::vector<BrittleUpstreams> hosts_;
  TimePoint now_{};
  int room_ = 0;
  std::deque<Told> told_;
  int falls_ = 0;
  double used_ = 0;
  double offered_ = 0;
};

}  // namespace

TEST_CASE("brittle upstreams under overload neither end nor idle") {
  const FleetRow row = GENERATE(values<FleetRow>({
      {"room for all slots", 7, 6, 64, 64, 64, 3, 2},
      {"memory for half of the slots", 7, 6, 64, 32, 32, 3, 2},
      {"memory for a fifth", 7, 6, 64, 12, 12, 3, 3},
      {"room shrinks", 7, 6, 64, 64, 32, 3, 2},
      {"room grows", 7, 6, 64, 32, 64, 3, 2},
      {"few slots", 7, 3, 6, 6, 6, 3, 2},
      {"few slots, less room", 7, 3, 8, 3, 3, 3, 3},
      {"tolerates little", 7, 6, 64, 32, 32, 2, 2},
      {"large fleet", 88, 18, 64, 40, 40, 4, 2},
  }));
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(row.name, seed);
    FleetSimulation fleet(row, seed);
    fleet.Run();
    CHECK(fleet.falls() <= 2 + 0.1 * static_cast<double>(row.upstreams));
    CHECK(fleet.used_part() >= 0.7);
  }
}

TEST_CASE("the hosts together have no more room than a brittle upstream") {
  struct Row {
    size_t hosts;
    int slots;
    int least_room;  ///< of all hosts at all upstreams
    int most_room;
  };
  const Row row = GENERATE(values<Row>({
      {1, 64, 320, 330},
      {7, 64, 320, 384},
      {7, 6, 60, 72},
      {88, 12, 120, 144},
  }));
  CAPTURE(row.hosts, row.slots);
  constexpr int kUpstreams = 10;
  int room = 0;
  for (size_t index = 0; index < row.hosts; ++index) {
    BrittleUpstreams host(/*seed=*/index);
    host.SetPosition({index, row.hosts});
    for (int number = 0; number < kUpstreams; ++number) {
      const UpstreamEntry upstream =
          MakeUpstream(std::to_string(number), row.slots);
      host.OnAnswer(upstream, 3, kStart, kStart);
      room += CountRoom(host, upstream, /*urgent=*/true, kStart);
    }
  }
  CHECK(room >= 0.8 * row.least_room);
  CHECK(room <= 1.2 * row.most_room);
}

TEST_CASE("the bound follows what the upstream says and refuses") {
  const UpstreamEntry upstream = MakeUpstream("i-1", 20);
  const UpstreamProcess process = ProcessOf(upstream);
  BrittleUpstreams host(/*seed=*/1);
  host.SetPosition({0, 1});
  CHECK(CountRoom(host, upstream, true, kStart) == 1000);
  CHECK_FALSE(host.OnRefused(upstream, /*local=*/true, kStart));
  host.OnAnswer(upstream, 2, kStart, kStart);
  const int room = CountRoom(host, upstream, true, kStart);
  CHECK(room >= 10);
  // Less urgent requests leave some places free.
  CHECK(CountRoom(host, upstream, false, kStart) == room - room / 4);
  // Ten requests are open when it refuses an eleventh.
  std::list<BrittleUpstreams::OpenRequest> open;
  for (int i = 0; i < 11; ++i)
    open.push_back(host.Open(upstream.id));
  CHECK(host.OnRefused(upstream, /*local=*/true, kStart));
  open.pop_back();
  // Further refusals are of requests that were sent before.
  CHECK_FALSE(host.OnRefused(upstream, true, kStart + milliseconds(1)));
  open.clear();
  CHECK(CountRoom(host, upstream, true, kStart + milliseconds(900)) == 0);
  const int room_after =
      CountRoom(host, upstream, true, kStart + milliseconds(1010));
  CHECK(room_after >= 8);
  CHECK(room_after <= 10);
  CHECK(CountRoom(host, upstream, true, kStart + seconds(20)) > 20);
  // An answer to an earlier request does not end it.
  host.OnAnswer(upstream, std::nullopt, kStart - seconds(1),
                kStart + seconds(25));
  CHECK(host.IsBrittle(process));
  host.OnAnswer(upstream, std::nullopt, kStart + seconds(1),
                kStart + seconds(25));
  CHECK(CountRoom(host, upstream, true, kStart + seconds(25)) == 1000);
  // Another host was refused by an upstream that is brittle.
  host.OnRefused(upstream, /*local=*/false, kStart + seconds(26));
  CHECK(CountRoom(host, upstream, true, kStart + seconds(26)) == 0);
}

TEST_CASE("a process that follows a brittle one counts as brittle") {
  const UpstreamEntry fallen = MakeUpstream("i-1", 20);
  const UpstreamEntry restarted = MakeUpstream("i-1-b", 20);
  UpstreamEntry other = MakeUpstream("i-2", 20);
  other.service = "app";
  BrittleUpstreams host(/*seed=*/1);
  host.SetPosition({0, 1});
  host.OnAnswer(fallen, 2, kStart, kStart);
  // It had no room although nothing was open at this host.
  host.OnRefused(fallen, /*local=*/false, kStart + seconds(4));
  UpstreamList list;
  list.by_service["llm"] = {restarted};
  list.by_service["app"] = {other};
  host.OnUpstreams(list, kStart + seconds(4));
  CHECK_FALSE(host.IsBrittle(ProcessOf(fallen)));
  CHECK(host.IsBrittle(ProcessOf(restarted)));
  CHECK_FALSE(host.IsBrittle(ProcessOf(other)));
  CHECK(CountRoom(host, restarted, true, kStart + seconds(4)) == 0);
  // It says that it is not.
  host.OnAnswer(restarted, std::nullopt, kStart + seconds(6),
                kStart + seconds(6));
  host.OnUpstreams(list, kStart + seconds(7));
  CHECK(host.empty());
}

}  // namespace teaselhill::gateway
