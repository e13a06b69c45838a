/// \file
/// Guards against brittle upstreams that end because the hosts together send
/// them more than they have room for.

#include "teaselhill/gateway/brittle_upstreams.h"

#include <catch2/catch.hpp>

namespace teaselhill::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = TimePoint(std::chrono::hours(5));

UpstreamEntry MakeUpstream(int number, int slots) {
  UpstreamEntry upstream;
  upstream.id = "i-" + std::to_string(number);
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

}  // namespace

TEST_CASE("the hosts together fill the slots of a brittle upstream") {
  struct Row {
    size_t hosts;
    int slots;
    bool refused;
    int room;  ///< of all hosts
  };
  const Row row = GENERATE(values<Row>({
      {1, 64, false, 64},
      {7, 64, false, 64},
      {7, 6, false, 6},
      {88, 12, false, 12},
      {7, 64, true, 44},
      {7, 1, true, 1},
  }));
  CAPTURE(row.hosts, row.slots, row.refused);
  for (int number = 0; number < 5; ++number) {
    const UpstreamEntry upstream = MakeUpstream(number, row.slots);
    int room = 0;
    for (size_t index = 0; index < row.hosts; ++index) {
      BrittleUpstreams host;
      host.SetPosition({index, row.hosts});
      host.OnAnswer(ProcessOf(upstream), /*brittle=*/true, kStart, kStart);
      if (row.refused)
        host.OnRefused(ProcessOf(upstream), /*local=*/index == 0, kStart);
      room += CountRoom(host, upstream, /*urgent=*/true, kStart);
    }
    CHECK(room == row.room);
  }
}

TEST_CASE("the bound follows what the upstream says and refuses") {
  const UpstreamEntry upstream = MakeUpstream(1, 10);
  const UpstreamProcess process = ProcessOf(upstream);
  BrittleUpstreams host;
  host.SetPosition({0, 1});
  CHECK(CountRoom(host, upstream, true, kStart) == 1000);
  CHECK_FALSE(host.OnRefused(process, /*local=*/true, kStart));
  host.OnAnswer(process, /*brittle=*/true, kStart, kStart);
  CHECK(CountRoom(host, upstream, true, kStart) == 10);
  // Less urgent requests leave some places free.
  CHECK(CountRoom(host, upstream, false, kStart) == 8);
  CHECK(host.OnRefused(process, /*local=*/true, kStart));
  // Further refusals are of requests that were open already.
  CHECK_FALSE(host.OnRefused(process, true, kStart + milliseconds(100)));
  CHECK(CountRoom(host, upstream, true, kStart + milliseconds(100)) == 7);
  CHECK(CountRoom(host, upstream, true, kStart + seconds(4)) == 9);
  // An answer to an earlier request does not end it.
  host.OnAnswer(process, false, kStart - seconds(1), kStart + seconds(5));
  CHECK(host.IsBrittle(process));
  host.OnAnswer(process, false, kStart + seconds(1), kStart + seconds(5));
  CHECK(CountRoom(host, upstream, true, kStart + seconds(5)) == 1000);
  // Another host was refused by an upstream that is brittle.
  host.OnRefused(process, /*local=*/false, kStart + seconds(6));
  CHECK(CountRoom(host, upstream, true, kStart + seconds(6)) == 7);
  host.Expire({});
  CHECK(host.empty());
}

}  // namespace teaselhill::gateway
