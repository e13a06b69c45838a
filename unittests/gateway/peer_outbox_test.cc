/// \file
/// Guards against hosts that spend their processors on messages to each other
/// while many upstreams crash at once.

#include "teaselhill/gateway/peer_outbox.h"

#include <catch2/catch.hpp>

namespace teaselhill::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kPeer = "10.0.0.1:1";

BundledMessage Message(uint64_t id, Duration age = {}) {
  return {id, age, std::string(100, 'x')};
}

}  // namespace

TEST_CASE("a message after a quiet time is sent at once") {
  PeerOutbox outbox;
  outbox.SetFleetSize(195);
  const TimePoint now = TimePoint(seconds(5));
  outbox.Add(Message(1, milliseconds(3)), now);
  CHECK(outbox.NextDue(kPeer) == now);
  const auto sent = outbox.TakeFor(kPeer, now);
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].id == 1);
  CHECK(sent[0].age == milliseconds(3));
  CHECK_FALSE(outbox.NextDue(kPeer));
}

TEST_CASE("a burst of messages costs a peer a bounded number of calls") {
  struct Row {
    const char* name;
    size_t hosts;
    int max_calls;
  };
  const Row row = GENERATE(values<Row>({
      {"7 hosts", 7, 51},
      {"88 hosts", 88, 23},
      {"195 hosts", 195, 11},
      {"384 hosts", 384, 6},
  }));
  INFO(row.name);
  PeerOutbox outbox;
  outbox.SetFleetSize(row.hosts);
  // 800 messages in a second, as when a quarter of the engines crash.
  TimePoint now(seconds(5));
  int calls = 0;
  uint64_t expected = 1;
  for (uint64_t id = 1; id <= 800; ++id) {
    now += std::chrono::microseconds(1250);
    outbox.Add(Message(id), now);
    const auto sent = outbox.TakeFor(kPeer, now);
    for (const BundledMessage& message : sent)
      CHECK(message.id == expected++);
    if (sent.empty())
      continue;
    ++calls;
    outbox.OnCallEnded(kPeer);
  }
  CHECK(calls <= row.max_calls);
  const auto rest = outbox.TakeFor(kPeer, now + seconds(1));
  CHECK(expected + rest.size() == 801);
}

TEST_CASE("what waits for a peer is sent with its age") {
  PeerOutbox outbox;
  const TimePoint now(seconds(5));
  outbox.Add(Message(1), now);
  REQUIRE(outbox.TakeFor(kPeer, now).size() == 1);
  outbox.Add(Message(2, milliseconds(7)), now + milliseconds(1));
  // The call before is in progress.
  CHECK_FALSE(outbox.NextDue(kPeer));
  CHECK(outbox.TakeFor(kPeer, now + milliseconds(100)).empty());
  outbox.OnCallEnded(kPeer);
  CHECK(outbox.NextDue(kPeer) == now + outbox.interval());
  const auto sent = outbox.TakeFor(kPeer, now + milliseconds(101));
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].age == milliseconds(107));
}

TEST_CASE("a peer that does not answer holds up no other, and no memory") {
  PeerOutboxOptions options;
  options.max_messages = 10;
  PeerOutbox outbox(options);
  const TimePoint now(seconds(5));
  outbox.Add(Message(1), now);
  REQUIRE(outbox.TakeFor("silent", now).size() == 1);
  REQUIRE(outbox.TakeFor(kPeer, now).size() == 1);
  outbox.OnCallEnded(kPeer);
  for (uint64_t id = 2; id <= 40; ++id)
    outbox.Add(Message(id), now + milliseconds(30));
  CHECK(outbox.size() <= 10);
  CHECK(outbox.TakeFor(kPeer, now + milliseconds(30)).size() == 10);
  outbox.OnCallEnded("silent");
  // What is older than PeerOutboxOptions::max_wait is of no use any more.
  CHECK(outbox.TakeFor("silent", now + seconds(3)).empty());
  CHECK(outbox.size() == 0);
}

TEST_CASE("a call carries a bounded number of bytes") {
  PeerOutboxOptions options;
  options.max_call_bytes = 250;
  PeerOutbox outbox(options);
  const TimePoint now(seconds(5));
  for (uint64_t id = 1; id <= 5; ++id)
    outbox.Add(Message(id), now);
  outbox.Add({6, {}, std::string(1000, 'x')}, now);
  std::vector<size_t> calls;
  for (int i = 0; i < 5; ++i) {
    calls.push_back(outbox.TakeFor(kPeer, now + milliseconds(250) * i).size());
    outbox.OnCallEnded(kPeer);
  }
  CHECK(calls == std::vector<size_t>{2, 2, 1, 1, 0});
}

}  // namespace teaselhill::gateway
