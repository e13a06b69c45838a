/// \file
/// Guards the memory that the callers of a server take together: bodies that
/// many of them send at once, and answers that they do not read.

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "raw_connection.h"
#include "teaselhill/net/http_server.h"

namespace teaselhill::net {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kMiB = 1 << 20;
/// What requests may hold, which is half of the budget.
constexpr size_t kBudgetBytes = 8 * kMiB;
constexpr size_t kLargeBytes = 900'000;
/// What is not counted yet, or is read on so that something ends.
constexpr size_t kSlackBytes = 4 * kMiB;

std::string HeadOf(size_t body_bytes) {
  return "POST /" + std::to_string(body_bytes) +
         " HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(body_bytes) + "\r\n\r\n";
}

std::string Post(size_t body_bytes) {
  return HeadOf(body_bytes) + std::string(body_bytes, 'b');
}

/// Keeps the bodies of large requests until it is told to answer; answers
/// small ones at once.
class KeepingHandler : public HttpHandler {
 public:
  void Handle(HttpRequest request,
              std::shared_ptr<ResponseWriter> response) override {
    if (request.method == "GET")
      return response->Respond(200, {}, std::string(300'000, 'a') + "whole");
    if (request.body.size() < kLargeBytes)
      return response->Respond(200, {}, "small");
    held_bytes += request.body.size();
    most_held_bytes = std::max(most_held_bytes, held_bytes);
    held.push_back({std::move(request.body), std::move(response)});
  }

  /// A response must not outlive its server.
  void DropAll() { held.clear(); }

  void AnswerAll() {
    for (auto& [body, response] : std::exchange(held, {})) {
      held_bytes -= body.size();
      response->Respond(200, {}, "large");
    }
  }

  std::vector<std::pair<std::string, std::shared_ptr<ResponseWriter>>> held;
  size_t held_bytes = 0;
  size_t most_held_bytes = 0;
};

struct Fixture {
  explicit Fixture(HttpHandler& handler,
                   milliseconds read_timeout = seconds(15),
                   size_t budget_bytes = 2 * kBudgetBytes)
      : budget(budget_bytes,
               [this](std::function<void()> function) {
                 loop.Post(std::move(function));
               }),
        server(loop, Options(read_timeout), handler) {
    REQUIRE(server.Start().ok());
  }

  HttpServerOptions Options(milliseconds read_timeout) {
    HttpServerOptions options;
    options.read_timeout = read_timeout;
    options.memory_budget = &budget;
    return options;
  }

  RawConnection& Connect() {
    callers.push_back(std::make_unique<RawConnection>(loop, server.port()));
    return *callers.back();
  }

  void Send(size_t callers_count, const std::string& data) {
    for (size_t i = 0; i < callers_count; ++i) {
      RawConnection& caller = Connect();
      caller.Read();
      caller.Send(data);
    }
  }

  /// Callers that have received `text`.
  size_t CountCallers(const std::string& text) const {
    return static_cast<size_t>(std::count_if(
        callers.begin(), callers.end(),
        [&](const auto& caller) { return caller->Count(text) > 0; }));
  }

  void RunFor(milliseconds duration) {
    bool is_over = false;
    const auto timer =
        loop.timers().After(duration, [&](TimePoint) { is_over = true; });
    RunUntil(loop, [&] { return is_over; });
  }

  EventLoop loop;
  MemoryBudget budget;
  HttpServer server;
  std::vector<std::unique_ptr<RawConnection>> callers;
};

}  // namespace

// Bodies that many callers sent at once filled the memory, each within its own
// bound. Slow callers must not keep the others from being served.
TEST_CASE("large bodies together stay within the budget and are all answered") {
  constexpr size_t kCallers = 60;
  const size_t slow_callers = GENERATE(0, 10);
  KeepingHandler handler;
  Fixture fixture(handler);
  fixture.Send(slow_callers, HeadOf(kLargeBytes) + std::string(150'000, 'b'));
  fixture.Send(kCallers, Post(kLargeBytes));
  size_t most_held = 0;
  const auto answerer =
      fixture.loop.timers().Subscribe(milliseconds(10), [&](TimePoint) {
        most_held = std::max(most_held, fixture.budget.held_bytes());
        handler.AnswerAll();
      });
  RunUntil(fixture.loop,
           [&] { return fixture.CountCallers("large") == kCallers; });
  CHECK(handler.most_held_bytes <= kBudgetBytes + kSlackBytes);
  CHECK(most_held > 0);
  CHECK(most_held <= kBudgetBytes + kSlackBytes);
  // The slow ones are served as well once they send the rest.
  for (size_t i = 0; i < slow_callers; ++i)
    fixture.callers[i]->Send(std::string(kLargeBytes - 150'000, 'b'));
  RunUntil(fixture.loop, [&] {
    return fixture.CountCallers("large") == kCallers + slow_callers;
  });
  RunUntil(fixture.loop, [&] { return fixture.budget.held_bytes() == 0; });
}

// A bound on the bodies of all callers must not hold up those that add little.
TEST_CASE("small requests are served while large ones wait") {
  constexpr size_t kLargeCallers = 40;
  constexpr size_t kSmallCallers = 20;
  KeepingHandler handler;
  Fixture fixture(handler);
  fixture.Send(kLargeCallers, Post(kLargeBytes));
  fixture.RunFor(milliseconds(500));
  CHECK(handler.held.size() >= 1);
  CHECK(handler.held.size() < kLargeCallers);
  fixture.Send(kSmallCallers, Post(GENERATE(0, 10'000, 60'000)));
  RunUntil(fixture.loop,
           [&] { return fixture.CountCallers("small") == kSmallCallers; });
  CHECK(fixture.budget.held_bytes() <= kBudgetBytes + kSlackBytes);
  handler.DropAll();
}

// Answers that a faulty server does not end would keep large requests from
// being read until their time ends.
TEST_CASE("large requests are read although other messages fill the budget") {
  constexpr size_t kCallers = 6;
  KeepingHandler handler;
  Fixture fixture(handler);
  const auto answer = fixture.budget.Open();
  answer->Set(kBudgetBytes * 7 / 8);
  fixture.Send(kCallers, Post(kLargeBytes));
  RunUntil(fixture.loop, [&] { return handler.held.size() == kCallers; });
  handler.AnswerAll();
  RunUntil(fixture.loop,
           [&] { return fixture.CountCallers("large") == kCallers; });
}

// A slow caller may be the first in the order of large requests.
TEST_CASE("callers that stall do not keep back the others") {
  constexpr size_t kStalled = 8;
  constexpr size_t kStalledBytes = 600'000;
  constexpr size_t kCallers = 8;
  KeepingHandler handler;
  Fixture fixture(handler);
  fixture.Send(kStalled, HeadOf(kLargeBytes) + std::string(kStalledBytes, 'b'));
  fixture.RunFor(milliseconds(200));
  CHECK(fixture.budget.held_bytes() > kBudgetBytes / 2);
  fixture.Send(kCallers, Post(kLargeBytes));
  const auto answerer = fixture.loop.timers().Subscribe(
      milliseconds(10), [&](TimePoint) { handler.AnswerAll(); });
  RunUntil(
      fixture.loop, [&] { return fixture.CountCallers("large") == kCallers; },
      seconds(2));
}

// Many slow callers may hold a large body each that lacks its last bytes.
TEST_CASE("requests that stall are refused before they exceed the budget") {
  constexpr size_t kStalled = 40;
  constexpr size_t kReadBytes = 4096;  // a read that exceeds the budget
  KeepingHandler handler;
  Fixture fixture(handler);
  size_t most_held = 0;
  const auto watch =
      fixture.loop.timers().Subscribe(milliseconds(1), [&](TimePoint) {
        most_held = std::max(most_held, fixture.budget.held_bytes());
        handler.AnswerAll();
      });
  fixture.Send(kStalled,
               HeadOf(kLargeBytes) + std::string(kLargeBytes - 1, 'b'));
  fixture.RunFor(milliseconds(1500));
  CHECK(most_held <= kBudgetBytes + kReadBytes);
  CHECK(fixture.CountCallers("HTTP/1.1 408") > 0);
  fixture.Send(1, Post(kLargeBytes));
  RunUntil(
      fixture.loop, [&] { return fixture.CountCallers("large") == 1; },
      seconds(10));
}

// RESTinio closes a connection whose request does not arrive in time; a caller
// whose read was put off must learn that its request did not run.
TEST_CASE("a request that waits for the budget is refused when its time ends") {
  constexpr size_t kCallers = 30;
  KeepingHandler handler;
  Fixture fixture(handler, milliseconds(1200));
  fixture.Send(kCallers, Post(kLargeBytes));
  const auto refused = [&] { return fixture.CountCallers("HTTP/1.1 408"); };
  RunUntil(fixture.loop,
           [&] { return refused() + handler.held.size() == kCallers; });
  CHECK(refused() > 0);
  CHECK(fixture.CountCallers("\"outcome\":\"not-run\"") == refused());
  handler.AnswerAll();
  RunUntil(fixture.loop, [&] {
    return fixture.CountCallers("large") + refused() == kCallers;
  });
  RunUntil(fixture.loop, [&] { return fixture.budget.held_bytes() == 0; });
}

// A planned stop would end requests whose reads are put off without an answer.
TEST_CASE("requests that wait for the budget are refused in a stop") {
  constexpr size_t kCallers = 30;
  KeepingHandler handler;
  Fixture fixture(handler);
  fixture.Send(kCallers, Post(kLargeBytes));
  fixture.RunFor(milliseconds(500));
  const size_t read = handler.held.size();
  CHECK(read < kCallers);
  fixture.server.RefuseUnread(ResultCode::kDraining);
  RunUntil(fixture.loop, [&] {
    return fixture.CountCallers("HTTP/1.1 503") == kCallers - read;
  });
  CHECK(fixture.CountCallers("\"outcome\":\"not-run\"") == kCallers - read);
  handler.AnswerAll();
  RunUntil(fixture.loop, [&] { return fixture.CountCallers("large") == read; });
  RunUntil(fixture.loop, [&] { return fixture.budget.held_bytes() == 0; });
}

// Accounts and reads that are put off would use a budget and timers that have
// been destroyed.
TEST_CASE("a server that waits for its budget can be destroyed") {
  KeepingHandler handler;
  Fixture fixture(handler);
  fixture.Send(30, Post(kLargeBytes));
  fixture.RunFor(milliseconds(300));
  CHECK(handler.held.size() < 30);
  handler.DropAll();
}

namespace {

/// Writes more than a caller reads, or whole answers.
class StreamHandler : public HttpHandler {
 public:
  explicit StreamHandler(EventLoop** loop) : loop_(loop) {}

  void Handle(HttpRequest request,
              std::shared_ptr<ResponseWriter> response) override {
    if (request.path == "/whole")
      return response->Respond(200, {}, std::string(64 * kMiB, 'w'));
    response->Start(200, {});
    const std::string piece(request.path == "/flood" ? kMiB : 50'000, 'p');
    const bool is_flood = request.path == "/flood";
    streams.push_back({response, TimerSubscription()});
    const size_t index = streams.size() - 1;
    if (is_flood)
      response->SetCloseHandler([this, index] {
        streams[index].second.Cancel();
        ++closed_floods;
      });
    streams[index].second = (*loop_)->timers().Subscribe(
        milliseconds(5),
        [this, index, piece, is_flood, left = size_t{20}](TimePoint) mutable {
          ResponseWriter& writer = *streams[index].first;
          most_pending = std::max(most_pending, PendingBytes());
          if (is_flood)
            return writer.Write(piece);
          if (left > 0) {
            writer.Write(piece);
            --left;
          } else {
            writer.Finish();
          }
        });
  }

  size_t PendingBytes() const {
    size_t pending = 0;
    for (const auto& [response, timer] : streams)
      pending += response->pending_bytes();
    return pending;
  }

  std::vector<std::pair<std::shared_ptr<ResponseWriter>, TimerSubscription>>
      streams;
  int closed_floods = 0;
  size_t most_pending = 0;

 private:
  EventLoop** loop_;
};

}  // namespace

// Callers that read nothing filled the memory with what was written for them.
TEST_CASE("callers that read nothing are closed and the others are served") {
  constexpr size_t kFloods = 6;
  constexpr size_t kReaders = 5;
  EventLoop* loop = nullptr;
  StreamHandler handler(&loop);
  Fixture fixture(handler, seconds(15), kBudgetBytes);
  loop = &fixture.loop;
  for (size_t i = 0; i < kFloods; ++i)
    fixture.Connect().Send("GET /flood HTTP/1.1\r\nHost: a\r\n\r\n");
  fixture.Send(kReaders, "GET /stream HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil(fixture.loop, [&] {
    return handler.closed_floods == kFloods &&
           fixture.CountCallers("\r\n0\r\n") == kReaders;
  });
  CHECK(handler.most_pending <= kBudgetBytes + kFloods * kMiB);
  for (size_t i = 0; i < kFloods; ++i)
    fixture.callers[i]->Read();
  RunUntil(fixture.loop, [&] {
    return std::all_of(fixture.callers.begin(),
                       fixture.callers.begin() + kFloods,
                       [](const auto& caller) { return caller->closed(); });
  });
  CHECK(fixture.CountCallers("\r\n0\r\n") == kReaders);
  handler.streams.clear();
  RunUntil(fixture.loop, [&] { return fixture.budget.held_bytes() == 0; });
  CHECK(fixture.server.open_connections() == kReaders);
}

// Answers that had just been handed to their connections were reset while
// others held the budget.
TEST_CASE("a caller that reads gets its answer while others hold the budget") {
  constexpr size_t kCallers = 20;
  KeepingHandler handler;
  Fixture fixture(handler, seconds(15), kBudgetBytes);
  const auto other = fixture.budget.Open();
  other->Set(kBudgetBytes);
  fixture.Send(kCallers, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil(fixture.loop,
           [&] { return fixture.CountCallers("whole") == kCallers; });
}

// An answer that is written at once filled the memory as a streamed one does.
TEST_CASE("a whole answer that is not read gives way too") {
  EventLoop* loop = nullptr;
  StreamHandler handler(&loop);
  Fixture fixture(handler, seconds(15), kBudgetBytes);
  loop = &fixture.loop;
  fixture.Connect().Send("GET /whole HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil(fixture.loop,
           [&] { return fixture.server.open_connections() == 1; });
  RunUntil(fixture.loop,
           [&] { return fixture.server.open_connections() == 0; });
  CHECK(fixture.budget.held_bytes() == 0);
  CHECK_FALSE(fixture.server.HasUnsentResponses());
}

}  // namespace teaselhill::net
