/// \file
/// Guards the peer codec: messages survive the wire, damaged ones are refused.

#include "teaselhill/peer/messages.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace teaselhill::peer {

namespace {

std::vector<Message> Samples() {
  membership::MemberUpdate member;
  member.id = {"host-a", ~0ull};
  member.state = membership::MemberState::kLeaving;
  member.address = "127.0.1.9";
  member.domain = "d1";
  const membership::Gossip gossip{{member}, {{"engine-1", "d1", 99}}};
  retry::CrashSuspicion suspicion;
  suspicion.sender = {"host-a", 3};
  suspicion.sequence = 8;
  suspicion.crashes.push_back({{"host-b", 4},
                               9,
                               "engine-1",
                               std::chrono::milliseconds(1500),
                               {{1, 2}, {3, 4}}});
  suspicion.runs.push_back({{7, 8}, true});
  suspicion.cleared_suspects.push_back({{5, 6}, std::chrono::seconds(2)});
  const quota::StreamHead head{"host-a", 1, 2, 3, true, false};
  return {membership::Ping{member, 7, gossip},
          membership::Ack{member, 7, {}},
          membership::IndirectPing{member, 7, "host-b", gossip},
          quota::HostDemand{head, {{4, 1.5f, 2.5f, 3.0f}}},
          quota::DomainDemand{head, "d1", {{4, 1.5f, 2.5f, 0}}},
          quota::ShareGrant{head, {{4, {0, 0.5f}, {0.25f, 1}, {0, 1}}}},
          routing::UpstreamSends{{"host-a", 1}, 9, {{1u << 31, 1, 2, 3, 4, 5}}},
          routing::UpstreamLeaving{{"host-a", 1}, 9, {"engine-1", "engine-2"}},
          suspicion,
          ConfigHint{12},
          ConfigFetch{11},
          ConfigTransfer{"{\"state\":1}"},
          CrashFetch{},
          routing::EngineReports{
              {}, {{7, 40, 64, 600, std::chrono::milliseconds(300)}}}};
}

}  // namespace

TEST_CASE("every message type survives the wire unchanged") {
  for (const Message& message : Samples()) {
    const std::string payload = Encode(message);
    const Result<Message> decoded = Decode(payload);
    REQUIRE(decoded.ok());
    CHECK(decoded->index() == message.index());
    CHECK(Encode(*decoded) == payload);
  }
}

// Guards against figures that the codec leaves out, as it once did with the
// pace.
TEST_CASE("all figures of an upstream reach the peer") {
  const routing::UpstreamSendsEntry sent{
      7, 1, 2, 3, 4, 5, std::chrono::microseconds(29300)};
  const Result<Message> decoded =
      Decode(Encode(routing::UpstreamSends{{}, 9, {sent}}));
  REQUIRE(decoded.ok());
  const auto& entry = std::get<routing::UpstreamSends>(*decoded).entries.at(0);
  CHECK(entry.upstream == sent.upstream);
  CHECK(entry.sent == sent.sent);
  CHECK(entry.ended == sent.ended);
  CHECK(entry.in_flight == sent.in_flight);
  CHECK(entry.non_resumable == sent.non_resumable);
  CHECK(entry.suspects == sent.suspects);
  CHECK(entry.time_per_token == sent.time_per_token);
}

TEST_CASE("a truncated message is refused and never crashes the host") {
  for (const Message& message : Samples()) {
    const std::string payload = Encode(message);
    for (size_t length = 0; length < payload.size(); ++length)
      CHECK_FALSE(Decode(payload.substr(0, length)).ok());
  }
}

TEST_CASE("damaged bytes never crash the host") {
  rc::prop("any byte may change", [] {
    const std::vector<Message> samples = Samples();
    const auto which = *rc::gen::inRange<size_t>(0, samples.size());
    std::string payload = Encode(samples[which]);
    const auto at = *rc::gen::inRange<size_t>(0, payload.size());
    payload[at] = static_cast<char>(*rc::gen::inRange(0, 256));
    const Result<Message> decoded = Decode(payload);
    if (!decoded)
      RC_ASSERT(decoded.error().code == ResultCode::kProtocolError);
  });
}

}  // namespace teaselhill::peer
