/// \file
/// Guards against answers that are lost because the process ends before they
/// have left its sockets, or before a request has arrived whole.

#include <catch2/catch.hpp>

#include "../net/raw_connection.h"
#include "teaselhill/router/traffic_worker.h"
#include "teaselhill/support/hash.h"

namespace teaselhill::router {

namespace {

/// More than the buffers of a loopback connection take.
constexpr size_t kLargeAnswerBytes = 12 << 20;

const std::string kCallerHeaders =
    "Host: h\r\nAuthorization: Bearer key\r\nContent-Type: "
    "application/json\r\n";

const std::string kChat =
    R"({"model":"m","messages":[{"role":"user","content":"x"}]})";

/// Records requests; the test answers them.
class WaitingControl : public ControlPort {
 public:
  void OnArrived(RequestInfo info) override {
    request = info.id;
    ++arrived;
  }
  void OnFirstToken(RequestId, int) override {}
  void OnProgress(std::vector<TokenProgress>) override {}
  void OnAttemptEnded(AttemptEnd,
                      std::shared_ptr<const StoredAnswer>) override {}
  void OnCallerDisconnected(RequestId) override {}
  void OnIdempotencyTokenRequested(int,
                                   RequestId id,
                                   const std::string&) override {
    request = id;
    ++arrived;
  }

  std::atomic<RequestId> request{0};
  std::atomic<int> arrived{0};
};

struct StoppingHost {
  StoppingHost() : worker(0, Options(), shared, control) {
    auto view = std::make_shared<config::ConfigView>();
    auto contract = std::make_shared<config::Contract>();
    contract->customer = "c";
    contract->teams.push_back({"t", 1, {}});
    contract->models = {"m"};
    config::ClassPolicy only;
    only.name = "only";
    contract->classes = {only};
    contract->default_class = "only";
    view->keys[Sha256Hex("key")] = {contract, &contract->teams[0], false};
    shared.SetConfig(view);
    REQUIRE(worker.Start().ok());
  }
  ~StoppingHost() { worker.Stop(); }

  /// A large answer must not give way.
  static TrafficOptions Options() {
    TrafficOptions options;
    options.max_unfinished_bytes = 2 * kLargeAnswerBytes;
    return options;
  }

  PublishedState shared;
  WaitingControl control;
  TrafficWorker worker;
  net::EventLoop loop;
};

std::string Post(const std::string& path, const std::string& body) {
  return "POST " + path + " HTTP/1.1\r\n" + kCallerHeaders +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

TEST_CASE("a host is not done before its last answer has left") {
  StoppingHost host;
  net::RawConnection caller(host.loop, host.worker.port());
  caller.Send(Post("/v1/chat/completions", kChat));
  net::RunUntil(host.loop, [&] { return host.control.arrived == 1; });
  auto answer = std::make_shared<StoredAnswer>();
  answer->body.assign(kLargeAnswerBytes, 'x');
  host.worker.ReplayAnswer(host.control.request, answer);
  host.worker.EndConnections();
  const TimePoint later =
      host.loop.timers().Now() + std::chrono::milliseconds(200);
  net::RunUntil(host.loop, [&] { return host.loop.timers().Now() >= later; });
  CHECK(host.worker.open_requests() > 0);
  caller.Read();
  net::RunUntil(host.loop, [&] { return host.worker.open_requests() == 0; });
  net::RunUntil(host.loop, [&] { return caller.closed(); });
  CHECK(caller.received().size() > kLargeAnswerBytes);
}

TEST_CASE("request for a token is answered before the host is done") {
  StoppingHost host;
  net::RawConnection caller(host.loop, host.worker.port());
  caller.Read();
  caller.Send(Post("/v1/tokens", ""));
  net::RunUntil(host.loop, [&] { return host.control.arrived == 1; });
  host.worker.EndConnections();
  const TimePoint later =
      host.loop.timers().Now() + std::chrono::milliseconds(50);
  net::RunUntil(host.loop, [&] { return host.loop.timers().Now() >= later; });
  CHECK(host.worker.open_requests() > 0);
  host.worker.SendIdempotencyToken(host.control.request, "t");
  net::RunUntil(host.loop, [&] { return host.worker.open_requests() == 0; });
  net::RunUntil(host.loop, [&] { return caller.closed(); });
  CHECK(caller.Count("200 OK") == 1);
}

TEST_CASE("a host that drains issues no token that only it could use") {
  StoppingHost host;
  host.shared.draining = true;
  net::RawConnection caller(host.loop, host.worker.port());
  caller.Read();
  caller.Send(Post("/v1/tokens", ""));
  net::RunUntil(host.loop, [&] { return caller.Count("Draining") == 1; });
  CHECK(host.control.arrived == 0);
}

TEST_CASE("request that has arrived in part is refused at the end") {
  const std::string request = Post("/v1/chat/completions", kChat);
  const size_t sent =
      GENERATE_REF(size_t{10}, request.find("\r\n\r\n"), request.size() - 1);
  CAPTURE(sent);
  StoppingHost host;
  net::RawConnection caller(host.loop, host.worker.port());
  caller.Read();
  caller.Send(request.substr(0, sent));
  const TimePoint later =
      host.loop.timers().Now() + std::chrono::milliseconds(50);
  net::RunUntil(host.loop, [&] { return host.loop.timers().Now() >= later; });
  host.worker.EndConnections();
  net::RunUntil(host.loop, [&] { return caller.closed(); });
  net::RunUntil(host.loop, [&] { return host.worker.open_requests() == 0; });
  CHECK(caller.Count("503 ") == 1);
  CHECK(caller.Count("Outcome: not-run") == 1);
  CHECK(host.control.arrived == 0);
}

}  // namespace teaselhill::router
