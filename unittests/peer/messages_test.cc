/// \file
/// Guards against peer messages that change in encoding and decoding, and
/// against crashes on malformed messages.

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
  const quota::StreamHeader header{"host-a", 1, 2, 3, true, false};
  return {membership::Ping{member, 7, gossip},
          membership::Ack{member, 7, {}},
          membership::IndirectPing{member, 7, "host-b", gossip},
          quota::HostDemand{header, {{4, 1.5f, 2.5f, 3.0f}}},
          quota::DomainDemand{header, "d1", {{4, 1.5f, 2.5f, 0}}},
          quota::ShareGrant{header, {{4, {0, 0.5f}, {0.25f, 1}, {0, 1}}}},
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

TEST_CASE("every message type is unchanged by encoding and decoding") {
  for (const Message& message : Samples()) {
    const std::string payload = Encode(message);
    const Result<Message> decoded = Decode(payload);
    REQUIRE(decoded.ok());
    CHECK(decoded->index() == message.index());
    CHECK(Encode(*decoded) == payload);
  }
}

// Guards against fields that the codec omits: `time_per_token` was once
// omitted.
TEST_CASE("all fields of an upstream's entry are encoded") {
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

TEST_CASE("a truncated message is rejected without a crash") {
  for (const Message& message : Samples()) {
    const std::string payload = Encode(message);
    for (size_t length = 0; length < payload.size(); ++length)
      CHECK_FALSE(Decode(payload.substr(0, length)).ok());
  }
}

TEST_CASE("a message with a corrupted byte never causes a crash") {
  rc::prop("any byte may change", [] {
    const std::vector<Message> samples = Samples();
    const auto index = *rc::gen::inRange<size_t>(0, samples.size());
    std::string payload = Encode(samples[index]);
    const auto position = *rc::gen::inRange<size_t>(0, payload.size());
    payload[position] = static_cast<char>(*rc::gen::inRange(0, 256));
    const Result<Message> decoded = Decode(payload);
    if (!decoded)
      RC_ASSERT(decoded.error().code == ResultCode::kProtocolError);
  });
}

}  // namespace teaselhill::peer
