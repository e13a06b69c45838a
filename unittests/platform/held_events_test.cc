/// \file
/// Guards against a host whose memory is filled by the events of a stream whose
/// record is being published.

#include <catch2/catch.hpp>

#include "gateway_fixture.h"

namespace platform {

namespace {

/// Publishes the records of streams after a while.
class SlowPeers : public gateway::StreamPeers {
 public:
  explicit SlowPeers(net::EventLoop& loop) : loop_(loop) {}

  void Append(std::vector<gateway::StreamRecord>) override {}
  void Publish(std::vector<gateway::StreamRecord>,
               teaselhill::Duration,
               std::function<void()> done) override {
    timer_ = loop_.timers().After(
        std::chrono::milliseconds(300),
        [done = std::move(done)](teaselhill::TimePoint) { done(); });
  }
  void ReadLog(std::function<void()> done) override { done(); }
  void Ask(gateway::StreamQuery,
           std::function<void(gateway::StreamEvidence)> done) override {
    done({});
  }

 private:
  net::EventLoop& loop_;
  teaselhill::TimerSubscription timer_;
};

}  // namespace

TEST_CASE("few events wait for the record of their stream") {
  constexpr size_t kMaxHeldBytes = 2 << 20;
  constexpr int kEvents = 512;
  constexpr size_t kEventBytes = 32 << 10;
  GatewayFixture* fixture_pointer = nullptr;
  net::MemoryBudget budget(64 << 20, [&](std::function<void()> function) {
    fixture_pointer->loop().Post(std::move(function));
  });
  gateway::Route route = ResumableRoute(std::chrono::seconds(4));
  // The record of a stream matters on a route to several services.
  route.services = {{"service", 1}, {"other", 0}};
  gateway::GatewayOptions options;
  options.memory_budget = &budget;
  GatewayFixture fixture(route, std::move(options));
  fixture_pointer = &fixture;
  SlowPeers peers(fixture.loop());
  fixture.gateway().SetStreamPeers(&peers);
  std::string events;
  std::string answer_bytes = StreamHead();
  for (int i = 1; i <= kEvents; ++i) {
    const std::string event = "id: " + std::to_string(i) +
                              "\ndata: " + std::string(kEventBytes, 'x') +
                              "\n\n";
    events += event;
    answer_bytes += Chunk(event);
  }
  fixture.AddUpstream({{{{}, answer_bytes + kLastChunk}}});
  size_t peak_bytes = 0;
  const auto poll = fixture.loop().timers().Subscribe(
      std::chrono::milliseconds(1), [&](teaselhill::TimePoint) {
        peak_bytes = std::max(peak_bytes, budget.held_bytes());
      });
  const ReceivedAnswer answer = fixture.Send();
  CHECK(answer.complete);
  CHECK(answer.body == events);
  CHECK(peak_bytes > kEventBytes);
  CHECK(peak_bytes <= kMaxHeldBytes);
  CHECK(budget.held_bytes() == 0);
}

}  // namespace platform
