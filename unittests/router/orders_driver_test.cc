/// \file
/// Guards the order lease: a driver that cannot read its own lease record never
/// holds the lease, so no engine ever gets an order.

#include "teaselhill/router/orders_driver.h"

#include <catch2/catch.hpp>

namespace teaselhill::router {

namespace {

/// A log in memory with one stream; it answers each read at once.
class MemoryLog : public platform::LogClient {
 public:
  void Append(const std::string&,
              std::vector<std::string> records,
              platform::AppendCallback callback) override {
    const LogOffset first = records_.size() + kFirstOffset;
    records_.insert(records_.end(), records.begin(), records.end());
    callback(first);
  }
  void Read(const platform::LogRead& read,
            platform::ReadCallback callback) override {
    platform::LogPage page;
    page.first_retained = kFirstOffset;
    page.next_offset = records_.size() + kFirstOffset;
    for (LogOffset at = std::max(read.from, kFirstOffset);
         at < page.next_offset; ++at)
      page.records.push_back({at, {}, records_[at - kFirstOffset]});
    callback(page);
  }

 private:
  std::vector<std::string> records_;
};

}  // namespace

TEST_CASE("a host alone takes the order lease of an empty stream") {
  MemoryLog log;
  ManualTimerService timers;
  Rng rng{1};
  NullLogger logger;
  routing::UpstreamTable upstreams({"h", 1});
  OrdersContext context;
  context.self = {"h", 1};
  context.domain = "d";
  context.log = &log;
  context.timers = &timers;
  context.rng = &rng;
  context.logger = &logger;
  context.upstreams = &upstreams;
  context.demand = [] { return std::map<std::string, double>(); };
  OrdersDriver driver(context);
  driver.Start();
  for (int step = 0; step < 400 && !driver.holds_lease(); ++step)
    timers.Advance(std::chrono::milliseconds(100));
  CHECK(driver.holds_lease());
}

}  // namespace teaselhill::router
