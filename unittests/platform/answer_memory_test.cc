/// \file
/// Guards against a host whose memory is filled by the unfinished answers of
/// faulty upstreams, each of which is within its own bound.

#include <catch2/catch.hpp>
#include <list>

#include "gateway_fixture.h"

namespace platform {

namespace {

constexpr size_t kMaxHeldBytes = 4 << 20;

/// Of each unfinished answer; less than one may hold by itself.
constexpr size_t kPouredBytes = 900'000;

/// What may arrive above the bound until the largest answer has given way. A
/// string that grows holds up to twice its bytes.
constexpr size_t kMaxExcessBytes = 2 << 20;

gateway::Route PlainRoute(gateway::RouteKind kind) {
  gateway::Route route;
  route.kind = kind;
  route.anonymous = true;
  route.timeout = std::chrono::seconds(3);
  route.answer_target = std::chrono::seconds(10);
  route.max_attempts = 3;
  return route;
}

gateway::Route RetryableRoute() {
  return PlainRoute(gateway::RouteKind::kIdempotent);
}

gateway::Route StreamRoute() {
  gateway::Route route = ResumableRoute(std::chrono::seconds(10));
  route.timeout = std::chrono::seconds(3);
  return route;
}

/// Requests that are played at a time, within a memory budget.
class Crowd {
 public:
  explicit Crowd(const gateway::Route& route) {
    gateway::GatewayOptions options;
    options.memory_budget = &budget_;
    options.retry_budget.fleet_additional_retries = 1000;
    options.retry_budget.ratio = 10;
    fixture_ = std::make_unique<GatewayFixture>(route, std::move(options));
  }

  GatewayFixture& fixture() { return *fixture_; }
  size_t peak_bytes() const { return peak_bytes_; }
  size_t held_bytes() const { return budget_.held_bytes(); }

  /// Returns the answers once all have ended.
  std::list<ReceivedAnswer> Send(int count) {
    std::list<ReceivedAnswer> answers;
    for (int i = 0; i < count; ++i)
      fixture_->Begin("/x", &answers.emplace_back());
    net::EventLoop& loop = fixture_->loop();
    const auto poll = loop.timers().Subscribe(
        std::chrono::milliseconds(1), [&](teaselhill::TimePoint) {
          peak_bytes_ = std::max(peak_bytes_, budget_.held_bytes());
          if (std::all_of(answers.begin(), answers.end(),
                          [](const ReceivedAnswer& answer) {
                            return answer.has_ended();
                          }))
            loop.Stop();
        });
    const auto limit = loop.timers().After(
        std::chrono::seconds(20), [&](teaselhill::TimePoint) { loop.Stop(); });
    loop.Run();
    return answers;
  }

 private:
  std::unique_ptr<GatewayFixture> fixture_;
  size_t peak_bytes_ = 0;
  net::MemoryBudget budget_{kMaxHeldBytes,
                            [this](std::function<void()> function) {
                              fixture_->loop().Post(std::move(function));
                            }};
};

}  // namespace

TEST_CASE("unfinished answers hold no more than their bound together") {
  struct Row {
    const char* name;
    gateway::Route route;
    std::string poured;  ///< the beginning of an answer that does not end
    std::string sound;
  };
  const std::string bytes(kPouredBytes, 'x');
  const std::string sound_answer =
      AnswerHead("200 OK", "Content-Length: 2\r\n") + "ok";
  const std::string sound_stream =
      StreamHead() + Chunk(EventText(1)) + kLastChunk;
  const Row row = GENERATE_COPY(values<Row>({
      {"an answer without a length", RetryableRoute(),
       AnswerHead("200 OK", "") + bytes, sound_answer},
      {"one chunk", RetryableRoute(),
       AnswerHead("200 OK", "Transfer-Encoding: chunked\r\n") + "fffffff\r\n" +
           bytes,
       sound_answer},
      {"a failure", RetryableRoute(), AnswerHead("500 No", "") + bytes,
       sound_answer},
      {"one event", StreamRoute(),
       StreamHead() + "fffffff\r\nid: 1\ndata: " + bytes, sound_stream},
  }));
  INFO(row.name);
  constexpr int kRequests = 40;
  Crowd crowd(row.route);
  const ScriptedUpstream& pouring =
      crowd.fixture().AddUpstream({{{{}, row.poured}}});
  crowd.fixture().AddUpstream({{{{}, row.sound}}});
  const std::list<ReceivedAnswer> answers = crowd.Send(kRequests);
  CHECK(crowd.peak_bytes() <= kMaxHeldBytes + kMaxExcessBytes);
  CHECK(crowd.held_bytes() == 0);
  const auto answered = std::count_if(
      answers.begin(), answers.end(), [](const ReceivedAnswer& answer) {
        return answer.status == 200 && answer.complete;
      });
  // The answers that fit the bound go on until their requests end.
  CHECK(answered >= kRequests - int(kMaxHeldBytes / kPouredBytes));
  CHECK_THAT(crowd.fixture().log(), Catch::Contains("answer_gave_way"));
  CHECK_THAT(crowd.fixture().log(), Catch::Contains("upstream_ejected"));
  CHECK(crowd.fixture().gateway().crash_counts().suspects == 0);
  const size_t requests_before = pouring.requests().size();
  CHECK(crowd.Send(1).front().complete);
  CHECK(pouring.requests().size() == requests_before);
}

// An answer that is merely large is lost to its caller if it is ended.
TEST_CASE("a large answer is passed on whole if that serves its caller") {
  struct Row {
    const char* name;
    gateway::RouteKind kind;
    std::string framing;
  };
  const Row row = GENERATE(values<Row>({
      {"known length", gateway::RouteKind::kIdempotent,
       "Content-Length: " + std::to_string(kPouredBytes) + "\r\n"},
      {"no retry", gateway::RouteKind::kNonIdempotent, ""},
  }));
  INFO(row.name);
  constexpr int kRequests = 40;
  Crowd crowd(PlainRoute(row.kind));
  const ScriptedUpstream& upstream =
      crowd.fixture().AddUpstream({{{{}, AnswerHead("200 OK", row.framing)},
                                    {{}, std::string(kPouredBytes - 1, 'x')},
                                    {std::chrono::milliseconds(500), "y"},
                                    {{}, ""}}});
  for (const ReceivedAnswer& answer : crowd.Send(kRequests)) {
    CHECK(answer.complete);
    CHECK(answer.body.size() == kPouredBytes);
    CHECK(answer.body.back() == 'y');
  }
  CHECK(upstream.requests().size() == kRequests);
  CHECK(crowd.peak_bytes() <= kMaxHeldBytes);
  CHECK(crowd.held_bytes() == 0);
  CHECK_THAT(crowd.fixture().log(), !Catch::Contains("upstream_ejected"));
}

}  // namespace platform
