/// \file
/// Gives orders to the engines of this failure domain while this host holds the
/// order lease.

#ifndef TEASELHILL_ROUTER_ORDERS_DRIVER_H_
#define TEASELHILL_ROUTER_ORDERS_DRIVER_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "teaselhill/config/config_view.h"
#include "teaselhill/net/http_client.h"
#include "teaselhill/orders/assignment_planner.h"
#include "teaselhill/orders/order_lease.h"
#include "teaselhill/routing/upstream_table.h"
#include "teaselhill/services/log_tail.h"
#include "teaselhill/support/logger.h"

namespace teaselhill::router {

/// Parses an answer to `GET /v1/state`; kProtocolError names the field.
Result<orders::EngineState> ParseEngineState(const std::string& name,
                                             const std::string& body);

struct OrdersContext {
  HostIncarnation self;
  std::string domain;
  std::string source_address;
  services::LogClient* log = nullptr;
  net::HttpClient* client = nullptr;
  TimerService* timers = nullptr;
  Rng* rng = nullptr;
  Logger* logger = nullptr;
  routing::UpstreamTable* upstreams = nullptr;
  /// Demand for each model at this host in tokens/s, queued and running.
  std::function<std::map<std::string, double>()> demand;
};

class OrdersDriver : public services::LogTailObserver {
 public:
  explicit OrdersDriver(OrdersContext context);
  ~OrdersDriver() override;

  void Start();
  void ApplyConfig(std::shared_ptr<const config::ConfigView> view);

  /// This host is leaving: it gives the lease up by not renewing it.
  void Retire() { wanted_ = false; }

  bool holds_lease() const { return lease_.IsHeldAt(context_.timers->Now()); }

  void OnRecords(const std::vector<services::LogRecord>& records) override;
  void OnGap(LogOffset from) override;
  void OnLogRestartedWithLess(LogOffset from, LogOffset log_next) override;

 private:
  struct Engine {
    std::string url;
    orders::EngineState state;
    bool reading = false;
  };

  void Tick(TimePoint now);
  void Renew(TimePoint now);
  void ReadStates();
  void OnState(const std::string& name,
               TimePoint asked,
               const Result<net::ClientResponse>& response);
  void Plan(TimePoint now);
  void Drain(const std::vector<std::string>& wanted, TimePoint now);
  void Send(const orders::Order& order);

  OrdersContext context_;
  orders::OrderLease lease_;
  orders::AssignmentPlanner planner_;
  services::LogTail tail_;
  std::shared_ptr<const config::ConfigView> view_;
  std::map<std::string, Engine> engines_;
  std::set<std::string> drained_;
  bool wanted_ = true;
  bool held_before_ = false;
  TimerSubscription timer_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_ORDERS_DRIVER_H_
