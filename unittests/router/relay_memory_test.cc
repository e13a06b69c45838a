/// \file
/// Guards against answers that fill the memory of the process because they do
/// not end, and against other requests that pay for them.

#include <catch2/catch.hpp>

#include "relay_fixture.h"

namespace teaselhill::router {

namespace {

constexpr size_t kBudgetBytes = 256 << 10;
/// Size of the pieces in which an answer arrives.
constexpr size_t kPieceBytes = 16 << 10;

enum class Kind { kService, kEvent, kCollected, kForwarded };

struct KindRow {
  const char* name;
  Kind kind;
};

const std::vector<KindRow> kKinds = {
    {"body of a service", Kind::kService},
    {"event of an engine", Kind::kEvent},
    {"answer that is collected", Kind::kCollected},
    {"event of another host", Kind::kForwarded},
};

std::string Head(Kind kind) {
  return kind == Kind::kService
             ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
             : StreamHead();
}

std::string Piece(Kind kind) {
  const std::string bytes(kPieceBytes, 'x');
  return Chunk(kind == Kind::kCollected ? TokenEvent(bytes) : bytes);
}

/// A request whose upstream sends what the test tells it.
struct Transfer {
  Transfer(RelayFixture& fixture, Kind kind)
      : kind(kind), upstream(fixture.loop, {{Head(kind), false}}) {
    RequestInfo info;
    if (kind == Kind::kService)
      info.service = "s";
    else
      info.model = "m";
    info.idempotent = true;
    info.stream = kind != Kind::kCollected;
    relay = fixture.Begin(std::move(info), &answer);
    Start(upstream, 0);
    net::RunUntil(fixture.loop, [&] { return upstream.requests() == 1; });
  }

  void Start(const ScriptedUpstream& to, int attempt) {
    AttemptCommand command;
    command.request = relay->info().id;
    command.attempt = attempt;
    command.url = to.url();
    command.to_host = kind == Kind::kForwarded;
    relay->StartAttempt(command);
  }

  Kind kind;
  ReceivedAnswer answer;
  ScriptedUpstream upstream;
  std::shared_ptr<Relay> relay;
};

void RunFor(RelayFixture& fixture, Duration time) {
  const TimePoint end = fixture.loop.timers().Now() + time;
  net::RunUntil(fixture.loop,
                [&] { return fixture.loop.timers().Now() >= end; });
}

}  // namespace

TEST_CASE("the largest unfinished answer gives way, and no other one") {
  const KindRow row = GENERATE(from_range(kKinds));
  CAPTURE(row.name);
  RelayFixture fixture;
  fixture.UseBudget(kBudgetBytes);
  Transfer pouring(fixture, row.kind);
  Transfer sound(fixture, row.kind);
  sound.upstream.Send(Piece(row.kind));
  for (int i = 0; i < 64 && fixture.control.ends.empty(); ++i) {
    pouring.upstream.Send(Piece(row.kind));
    RunFor(fixture, std::chrono::milliseconds(2));
    CHECK(fixture.budget->held_bytes() <= kBudgetBytes + 2 * kPieceBytes);
  }
  REQUIRE(fixture.control.ends.size() == 1);
  const AttemptEnd& end = fixture.control.ends[0];
  CHECK(end.request == pouring.relay->info().id);
  CHECK(end.code == ResultCode::kProtocolError);
  CHECK(end.may_have_been_sent);
  CHECK(end.delivered_tokens == 0);
  CHECK(end.detail.find("bytes") != std::string::npos);
  CHECK_FALSE(pouring.answer.complete);
  CHECK(fixture.budget->held_bytes() <= 2 * kPieceBytes);
  if (row.kind != Kind::kForwarded && row.kind != Kind::kEvent) {
    sound.upstream.Send(
        (row.kind == Kind::kCollected ? Chunk(kDoneEvent) : "") + kLastChunk);
    net::RunUntil(fixture.loop, [&] { return sound.answer.complete; });
    CHECK(sound.answer.body.size() >= kPieceBytes);
  }
  pouring.relay->Fail({ResultCode::kCallerGone, ""}, Duration::zero());
  sound.relay->Fail({ResultCode::kCallerGone, ""}, Duration::zero());
}

TEST_CASE("collected answer that gave way begins anew") {
  RelayFixture fixture;
  fixture.UseBudget(kBudgetBytes);
  Transfer transfer(fixture, Kind::kCollected);
  for (int i = 0; i < 64 && fixture.control.ends.empty(); ++i) {
    transfer.upstream.Send(Piece(Kind::kCollected));
    RunFor(fixture, std::chrono::milliseconds(2));
  }
  REQUIRE(fixture.control.ends.size() == 1);
  const ScriptedUpstream next(fixture.loop,
                              {{StreamHead() + Chunk(TokenEvent("whole")) +
                                    Chunk(kDoneEvent) + kLastChunk,
                                false}});
  transfer.Start(next, 1);
  net::RunUntil(fixture.loop, [&] { return transfer.answer.complete; });
  CHECK(transfer.answer.body.find("\"content\":\"whole\"") !=
        std::string::npos);
  CHECK(fixture.control.ends.back().delivered_tokens == 1);
}

// Each of these is bounded by itself, however much memory is left.
TEST_CASE("an answer that does not end is broken off at its own bound") {
  struct Row {
    const char* name;
    Kind kind;
    size_t bytes;
    const char* detail;
  };
  const Row row = GENERATE(values<Row>({
      {"event of an engine", Kind::kEvent, 1 << 20, "event exceeds"},
      {"event of another host", Kind::kForwarded, 1 << 20,
       "an event of the answer is too large"},
      {"answer that is collected", Kind::kCollected, 4 << 20,
       "the collected answer is too large"},
      {"body of a service", Kind::kService, 16 << 20, ""},
  }));
  CAPTURE(row.name);
  RelayFixture fixture;
  Transfer transfer(fixture, row.kind);
  std::string pieces;
  for (size_t sent = 0; sent <= row.bytes; sent += kPieceBytes)
    pieces += Piece(row.kind);
  transfer.upstream.Send(pieces);
  net::RunUntil(fixture.loop, [&] { return !fixture.control.ends.empty(); });
  CHECK(fixture.control.ends[0].code == ResultCode::kProtocolError);
  CHECK(fixture.control.ends[0].may_have_been_sent);
  CHECK(fixture.control.ends[0].detail.find(row.detail) != std::string::npos);
  net::RunUntil(fixture.loop,
                [&] { return transfer.upstream.open_connections() == 0; });
  transfer.relay->Fail({ResultCode::kCallerGone, ""}, Duration::zero());
}

TEST_CASE("an error of an engine that does not end is a refusal") {
  const std::string status =
      GENERATE("400 Bad Request", "503 Unavailable", "200 OK");
  CAPTURE(status);
  RelayFixture fixture;
  ScriptedUpstream engine(
      fixture.loop,
      {{"HTTP/1.1 " + status + "\r\nTransfer-Encoding: chunked\r\n\r\n" +
            Chunk(std::string(kPieceBytes, 'x')),
        false}});
  ReceivedAnswer answer;
  const std::shared_ptr<Relay> relay = fixture.BeginStream(&answer);
  const AttemptEnd end = fixture.Run(*relay, engine);
  CHECK(end.code == ResultCode::kUpstreamRefused);
  CHECK(std::to_string(end.status) == status.substr(0, 3));
  net::RunUntil(fixture.loop, [&] { return engine.open_connections() == 0; });
}

}  // namespace teaselhill::router
