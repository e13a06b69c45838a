/// \file
/// Tests that the load generator detects the faults of a router. Each case runs
/// a short plan against a router with one known fault.

#include "teaselhill/load/runner.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <set>
#include <thread>

#include "teaselhill/net/http_server.h"
#include "teaselhill/standin/answer.h"
#include "teaselhill/standin/journal.h"
#include "teaselhill/standin/messages.h"

namespace teaselhill::load {

namespace {

enum class Misbehaviour {
  kNone,
  kWrongAnswer,
  kTruncatesAnswer,
  kRunsTwice,
  kFalseNotRun,
  kCorrectNotRun,
  kNeverAnswers,
  kNotRunOnce,
};

/// Acts as a router and its upstream: answers requests and keeps the journal.
class TestRouter : public net::HttpHandler {
 public:
  explicit TestRouter(Misbehaviour misbehaviour)
      : misbehaviour_(misbehaviour) {}

  void Handle(net::HttpRequest request,
              std::shared_ptr<net::ResponseWriter> response) override {
    if (request.path == "/control/journal") {
      response->Respond(200, {}, standin::ToJson(journal_));
      return;
    }
    if (request.path == "/v1/tokens") {
      response->Respond(
          200, {}, "{\"token\":\"t" + std::to_string(++issued_tokens_) + "\"}");
      return;
    }
    const std::string key(
        net::FindHeader(request.headers, "Idempotency-Key").value_or(""));
    const auto run = [&] {
      journal_.End(journal_.Begin("own-id", key, "m", SteadyNow()),
                   standin::RunEnd::kFinished);
    };
    const bool refused = misbehaviour_ == Misbehaviour::kCorrectNotRun ||
                         (misbehaviour_ == Misbehaviour::kNotRunOnce &&
                          seen_keys_.insert(key).second);
    if (!refused)
      run();
    if (misbehaviour_ == Misbehaviour::kRunsTwice)
      run();
    if (misbehaviour_ == Misbehaviour::kNeverAnswers) {
      unanswered_.push_back(response);
      return;
    }
    if (refused || misbehaviour_ == Misbehaviour::kFalseNotRun) {
      response->Respond(
          503, {{"X-Teaselhill-Outcome", "not-run"}, {"Retry-After", "0"}},
          "{}");
      return;
    }
    std::string answer =
        standin::MakeServiceAnswer(request.method, request.body);
    if (misbehaviour_ == Misbehaviour::kWrongAnswer)
      answer = standin::MakeServiceAnswer(request.method, "another request");
    if (misbehaviour_ == Misbehaviour::kTruncatesAnswer)
      answer.pop_back();
    response->Respond(200, {{"X-Teaselhill-Outcome", "answered"}}, answer);
  }

 private:
  Misbehaviour misbehaviour_;
  uint64_t issued_tokens_ = 0;
  std::set<std::string> seen_keys_;  ///< idempotency keys of earlier requests
  standin::Journal journal_{SteadyNow(), WallNow()};
  std::vector<std::shared_ptr<net::ResponseWriter>> unanswered_;
};

/// Accepts connections and closes them without an answer, as the kernel does
/// when a process is killed.
class ClosingListener {
 public:
  ClosingListener() : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    auto* const generic = reinterpret_cast<sockaddr*>(&address);
    if (::bind(socket_, generic, size) == 0 && ::listen(socket_, 64) == 0 &&
        ::getsockname(socket_, generic, &size) == 0)
      port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] {
      for (int one = 0; (one = ::accept(socket_, nullptr, nullptr)) >= 0;) {
        char byte = 0;
        static_cast<void>(::recv(one, &byte, 1, 0));
        ::close(one);
      }
    });
  }
  ~ClosingListener() {
    ::shutdown(socket_, SHUT_RDWR);
    thread_.join();
    ::close(socket_);
  }
  ClosingListener(const ClosingListener&) = delete;
  ClosingListener& operator=(const ClosingListener&) = delete;

  uint16_t port() const { return port_; }

 private:
  int socket_;
  uint16_t port_ = 0;
  std::thread thread_;
};

}  // namespace

TEST_CASE("the report counts each kind of router fault") {
  using M = Misbehaviour;
  struct Row {
    Misbehaviour misbehaviour;
    Ending ending;
    uint64_t Summary::*counter;
    std::string fields{};  ///< additional fields of the stream in the plan
  };
  const Row row = GENERATE(
      Row{M::kNone, Ending::kAnswered, nullptr},
      Row{M::kWrongAnswer, Ending::kIncomplete, &Summary::incomplete_answers},
      Row{M::kTruncatesAnswer, Ending::kIncomplete,
          &Summary::incomplete_answers},
      Row{M::kRunsTwice, Ending::kAnswered, &Summary::duplicate_runs},
      Row{M::kFalseNotRun, Ending::kNotRun, &Summary::false_not_run},
      Row{M::kCorrectNotRun, Ending::kNotRun, nullptr},
      Row{M::kNeverAnswers, Ending::kUnanswered, &Summary::unanswered},
      // Callers that resend, retry or disconnect.
      Row{M::kNone, Ending::kAnswered, &Summary::duplicate_runs,
          R"(,"resend_share":1,"resend_after_ms":0)"},
      Row{M::kNotRunOnce, Ending::kAnswered, nullptr, R"(,"retries":1)"},
      Row{M::kNeverAnswers, Ending::kDisconnected, nullptr,
          R"(,"disconnect_share":1,"disconnect_after_ms":5)"});
  const std::string key_kind = GENERATE(as<std::string>(), "uuidv7", "token");
  net::EventLoop loop;
  TestRouter router(row.misbehaviour);
  net::HttpServer server(loop, {}, router);
  REQUIRE(server.Start().ok());
  const std::string url = "http://127.0.0.1:" + std::to_string(server.port());
  const auto plan =
      ParsePlan(R"({"duration_s":0.1,"drain_s":0.2,"routers":[")" + url +
                R"("],"journals":[")" + url + R"(/control/journal"],"streams":[{
        "name":"s","service":"x","rate":200,"non_idempotent":true,
        "key_kind":")" +
                key_kind + "\"" + row.fields + "}]}");
  REQUIRE(plan.ok());
  Runner runner(loop, *plan);
  runner.Start([&loop] { loop.Stop(); });
  const auto limit = loop.timers().After(std::chrono::seconds(20),
                                         [&](TimePoint) { loop.Stop(); });
  loop.Run();
  const Summary summary = runner.MakeSummary();
  const ClassSummary& entry = summary.classes.at("s");
  CHECK(summary.journals_read == 1);
  REQUIRE(entry.sent > 5);
  CHECK(entry.endings.at(row.ending) == entry.sent);
  for (const auto counter :
       {&Summary::incomplete_answers, &Summary::duplicate_runs,
        &Summary::false_not_run, &Summary::unanswered})
    CHECK(summary.*counter == (counter == row.counter ? entry.sent : 0));
}

TEST_CASE(
    "a request is resent after a lost connection only if the plan allows it") {
  const int resends = GENERATE(0, 1);
  const std::string key_kind = GENERATE(as<std::string>(), "uuidv7", "token");
  net::EventLoop loop;
  const ClosingListener closing;
  TestRouter alive(Misbehaviour::kNone);
  net::HttpServer server(loop, {}, alive);
  REQUIRE(server.Start().ok());
  const std::string base = "http://127.0.0.1:";
  const std::string url = base + std::to_string(server.port());
  const auto plan = ParsePlan(
      R"({"duration_s":0.1,"drain_s":5,"routers":[")" + base +
      std::to_string(closing.port()) + "\",\"" + url + R"("],"journals":[")" +
      url + R"(/control/journal"],"streams":[{"name":"s","service":"x",
         "rate":200,"non_idempotent":true,"key_kind":")" +
      key_kind + R"(","loss_resends":)" + std::to_string(resends) + "}]}");
  REQUIRE(plan.ok());
  Runner runner(loop, *plan);
  runner.Start([&loop] { loop.Stop(); });
  const auto limit = loop.timers().After(std::chrono::seconds(20),
                                         [&](TimePoint) { loop.Stop(); });
  loop.Run();
  const Summary summary = runner.MakeSummary();
  const ClassSummary& entry = summary.classes.at("s");
  REQUIRE(entry.sent > 5);
  CHECK((summary.unanswered == 0) == (resends == 1));
  CHECK(summary.incomplete_answers == 0);
  CHECK(entry.endings.at(Ending::kAnswered) + summary.unanswered == entry.sent);
}

}  // namespace teaselhill::load
