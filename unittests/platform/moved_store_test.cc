/// \file
/// Guards against a host that goes on asking a store at an address that its
/// settings no longer name.

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "platform/boot_settings.h"
#include "platform/store_client.h"
#include "platform/topic_follower.h"
#include "teaselhill/net/event_loop.h"
#include "teaselhill/net/http_server.h"

namespace platform {

namespace {

namespace net = teaselhill::net;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Answers a listing with nothing, and keeps reads waiting.
class StoreAddress : public net::HttpHandler {
 public:
  explicit StoreAddress(net::EventLoop& loop) : server_(loop, {}, *this) {
    REQUIRE(server_.Start().ok());
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(server_.port());
  }

  void Handle(net::HttpRequest request,
              std::shared_ptr<net::ResponseWriter> response) override {
    if (request.path == "/v1/log-newest")
      return response->Respond(200, {},
                               R"({"end":4,"items":[],"hasMore":false})");
    targets.push_back(request.target);
    waiting_.push_back(std::move(response));
  }

  std::vector<std::string> targets;

 private:
  std::vector<std::shared_ptr<net::ResponseWriter>> waiting_;
  net::HttpServer server_;
};

class IgnoringHandler : public TopicFollower::Handler {
 public:
  void OnListing(const Listing&) override { ++listings; }
  void OnRecords(const std::vector<KeyedRecord>&) override {}
  void OnSourceAnswered() override {}
  void OnSourceUnreachable(const teaselhill::Error&) override {}

  int listings = 0;
};

/// Runs the loop until `done` holds; returns whether it does before `limit`.
template <typename Done>
bool RunUntil(net::EventLoop& loop, milliseconds limit, Done done) {
  const auto poll =
      loop.timers().Subscribe(milliseconds(1), [&](teaselhill::TimePoint) {
        if (done())
          loop.Stop();
      });
  const auto timer =
      loop.timers().After(limit, [&](teaselhill::TimePoint) { loop.Stop(); });
  loop.Run();
  return done();
}

constexpr char kSettings[] = R"({"node":"n","zone":"z","ip":"10.1.0.19",
    "listen":{"front":"10.1.0.19:8740","ready":"10.1.0.19:8749"},
    "portRange":[7200,7215],"limits":{"maxFds":4100,"ramMb":260},
    "bounds":{"graceS":8,"retryRatio":0.2,"retryWindowS":10,"retryExtra":54,
              "drainMs":2000,"configMs":2000,"contactMs":3000},
    "provider":{"addr":"10.200.1.7:8742"}})";

std::string Replace(std::string text,
                    const std::string& from,
                    const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

}  // namespace

TEST_CASE("a store that moves is asked at its new address at once") {
  net::EventLoop loop;
  StoreAddress old_address(loop);
  StoreAddress new_address(loop);
  StoreClient client(loop, old_address.address());
  IgnoringHandler handler;
  TopicFollower follower(loop.timers(), client,
                         {"keyed.op", seconds(30), {}, {}, milliseconds(200)},
                         handler);
  follower.Start();
  REQUIRE(RunUntil(loop, seconds(5),
                   [&] { return old_address.targets.size() == 1; }));
  client.SetAddress(new_address.address());
  CHECK(RunUntil(loop, milliseconds(500),
                 [&] { return new_address.targets.size() == 1; }));
  // What was read before holds: the reads go on where they were.
  CHECK(handler.listings == 1);
  CHECK(new_address.targets == old_address.targets);
}

TEST_CASE("a changed setting that needs a restart is named") {
  struct Row {
    const char* from;
    const char* to;
    std::vector<std::string> named;
  };
  const Row row = GENERATE(values<Row>({
      {"10.200.1.7", "10.200.1.9", {}},
      {R"("graceS":8)", R"("graceS":9)", {}},
      {R"("retryExtra":54)", R"("retryExtra":55)", {}},
      {R"("node":"n")", R"("node":"m")", {"node"}},
      {":8740", ":8741", {"listen.front"}},
      {"[7200,7215]", "[7200,7216]", {"portRange"}},
      {R"("ramMb":260)", R"("ramMb":300)", {"limits.ramMb"}},
      {R"("contactMs":3000)", R"("contactMs":4000)", {"bounds.contactMs"}},
      {R"("drainMs":2000)", R"("drainMs":3000)", {"bounds.drainMs"}},
      {R"("configMs":2000)", R"("configMs":3000)", {"bounds.configMs"}},
  }));
  CAPTURE(row.to);
  const auto running = ParseBootSettings(kSettings);
  const auto reloaded = ParseBootSettings(Replace(kSettings, row.from, row.to));
  REQUIRE(running.ok());
  REQUIRE(reloaded.ok());
  CHECK(ChangesThatNeedRestart(*running, *reloaded) == row.named);
}

}  // namespace platform
