/// \file
/// Guards against hosts that serve nobody while they are cut from all
/// upstreams, and against requests that are passed on to hosts that cannot
/// serve them.

#include "teaselhill/gateway/relay.h"

#include <catch2/catch.hpp>
#include <set>

#include "teaselhill/gateway/upstream_reach.h"
#include "teaselhill/net/error_response.h"

namespace teaselhill::gateway {

namespace {

using std::chrono::milliseconds;

const TimePoint kStart = TimePoint(std::chrono::hours(5));

/// A connection to an upstream.
struct Contact {
  int upstream;
  milliseconds opened_at;
  bool reached;
};

RelayPeers MakePeers() {
  RelayPeers peers("a");
  peers.OnHosts({{"a", {}, "10.0.0.1:7200", "10.0.0.1:7215"},
                 {"b", {}, "10.0.0.2:7200", "10.0.0.2:7215"},
                 {"c", {}, "10.0.0.3:7200", "10.0.0.3:7215"},
                 {"old", {}, "10.0.0.4:7200", ""}});
  return peers;
}

}  // namespace

TEST_CASE("a host that reaches none of several upstreams is cut off") {
  struct Row {
    const char* name;
    std::vector<Contact> contacts;
    size_t upstream_count;
    bool cut;
  };
  const Row row = GENERATE(values<Row>({
      {"all fail",
       {{1, milliseconds(0), false},
        {2, milliseconds(5), false},
        {3, milliseconds(9), false}},
       18,
       true},
      {"one fails again and again",
       {{1, milliseconds(0), false},
        {1, milliseconds(5), false},
        {1, milliseconds(9), false}},
       18,
       false},
      {"another is reached meanwhile",
       {{1, milliseconds(0), false},
        {2, milliseconds(5), false},
        {4, milliseconds(7), true},
        {3, milliseconds(9), false}},
       18,
       false},
      {"an old connection lives on",
       {{1, milliseconds(10), false},
        {2, milliseconds(15), false},
        {4, milliseconds(-500), true},
        {3, milliseconds(19), false}},
       18,
       true},
      {"far apart",
       {{1, milliseconds(0), false},
        {2, milliseconds(5), false},
        {3, milliseconds(4000), false}},
       18,
       false},
      {"both of two fail",
       {{1, milliseconds(0), false}, {2, milliseconds(5), false}},
       2,
       true},
      {"reached again",
       {{1, milliseconds(0), false},
        {2, milliseconds(5), false},
        {3, milliseconds(9), false},
        {3, milliseconds(300), true}},
       18,
       false},
  }));
  INFO(row.name);
  UpstreamReach reach;
  for (const Contact& contact : row.contacts) {
    const TimePoint opened_at = kStart + contact.opened_at;
    if (contact.reached)
      reach.OnReached(opened_at);
    else
      reach.OnFailed(std::to_string(contact.upstream), opened_at,
                     row.upstream_count, opened_at + milliseconds(1));
  }
  CHECK(reach.is_cut() == row.cut);
  CHECK(reach.TakeChange().has_value() == row.cut);
  CHECK_FALSE(reach.TakeChange());
}

TEST_CASE("requests go to other hosts that are not cut off themselves") {
  RelayPeers peers = MakePeers();
  Rng rng(1);
  std::set<std::string> picked;
  for (int i = 0; i < 50; ++i)
    picked.insert(peers.Pick({}, rng, kStart)->host);
  CHECK(picked == std::set<std::string>{"b", "c"});
  CHECK(peers.Pick({"b"}, rng, kStart)->host == "c");
  CHECK_FALSE(peers.Pick({"b", "c"}, rng, kStart));
  peers.OnReach("b", /*cut=*/true, kStart);
  CHECK_FALSE(peers.Pick({"c"}, rng, kStart));
  peers.OnReach("b", /*cut=*/false, kStart);
  peers.OnFailed("c", kStart);
  for (int i = 0; i < 20; ++i)
    CHECK(peers.Pick({}, rng, kStart)->address == "10.0.0.2:7215");
  // A host that has failed may be back, so it is better than none.
  CHECK(peers.Pick({"b"}, rng, kStart)->host == "c");
  CHECK(peers.IsFleetAddress("10.0.0.4"));
  CHECK_FALSE(peers.IsFleetAddress("10.0.0.9"));
}

TEST_CASE("hosts exchange what they need to know of a relayed request") {
  net::Headers request = {{"X-Kept", "1"}};
  AddRelayOrigin({"a", 2}, &request);
  const std::optional<RelayOrigin> origin = TakeRelayOrigin(&request);
  REQUIRE(origin);
  CHECK(origin->host == "a");
  CHECK(origin->attempts_left == 2);
  CHECK(request.size() == 1);
  CHECK_FALSE(TakeRelayOrigin(&request));

  net::Headers response = {{"X-Kept", "1"}};
  AddRelayedResponse({"llm", "v1.1", 3}, &response);
  CHECK_FALSE(RelayErrorCode(response));
  const std::optional<RelayedResponse> relayed = TakeRelayedResponse(&response);
  REQUIRE(relayed);
  CHECK(relayed->service == "llm");
  CHECK(relayed->version == "v1.1");
  CHECK(relayed->runs == 3);
  CHECK(response.size() == 1);

  net::Headers forged = {{"X-Teaselhill-Service", "llm"},
                         {"X-Teaselhill-Version", "v1"},
                         {"X-Teaselhill-Runs", "-1"}};
  CHECK_FALSE(TakeRelayedResponse(&forged));
}

TEST_CASE("only refusals for the host's own state are tried elsewhere") {
  struct Row {
    ResultCode code;
    bool elsewhere;
  };
  const Row row = GENERATE(values<Row>({
      {ResultCode::kNoUpstream, true},
      {ResultCode::kDraining, true},
      {ResultCode::kNoConfiguration, true},
      {ResultCode::kUnknownPath, true},
      {ResultCode::kUpstreamRefused, true},
      {ResultCode::kQueueFull, false},
      {ResultCode::kQuarantined, false},
      {ResultCode::kUpstreamsLimited, false},
      {ResultCode::kUpstreamLost, false},
  }));
  const net::Headers headers =
      net::ErrorHeaders({row.code, ""}, std::chrono::seconds(2));
  CHECK(RelayErrorCode(headers) == row.code);
  CHECK(MayServeElsewhere(row.code) == row.elsewhere);
}

}  // namespace teaselhill::gateway
