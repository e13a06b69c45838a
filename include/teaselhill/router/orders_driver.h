/// \file
/// Sends orders to the engines of this host's failure domain while this host
/// holds the order lease of the domain.

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

/// Parses a response to `GET /v1/state`. Errors: kProtocolError, with the
/// invalid field.
Result<orders::EngineState> ParseEngineState(const std::string& name,
                                             const std::string& body);

/// Identity and dependencies of an OrdersDriver. What the pointers refer to
/// must outlive the driver.
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
  /// Returns the estimated demand for each model in this host's failure domain
  /// in tokens/s, from queued and running requests.
  std::function<std::map<std::string, double>()> demand_tokens_per_second;
};

/// Competes for the order lease of the failure domain. While it holds the lease
/// it reads the engines' states and sends them the planned orders.
class OrdersDriver : public services::LogTailObserver {
 public:
  explicit OrdersDriver(OrdersContext context);
  ~OrdersDriver() override;

  void Start();
  void ApplyConfig(std::shared_ptr<const config::ConfigView> view);

  /// Stops acquiring and renewing the lease; a held lease expires. Called when
  /// this host drains.
  void StopRenewal() { renew_lease_ = false; }

  bool holds_lease() const { return lease_.IsHeldAt(context_.timers->Now()); }

  void OnRecords(const std::vector<services::LogRecord>& records) override;
  void OnGap(LogOffset from) override;
  void OnLogRestartedWithFewerRecords(LogOffset from,
                                      LogOffset log_next) override;

 private:
  struct Engine {
    std::string url;
    orders::EngineState state;
    bool state_read_pending = false;
  };

  void Tick(TimePoint now);
  void RenewLease(TimePoint now);
  void ReadEngineStates();
  void OnEngineState(const std::string& name,
                     TimePoint requested_at,
                     const Result<net::ClientResponse>& response);
  void PlanOrders(TimePoint now);
  void SetDrainedUpstreams(const std::vector<std::string>& upstreams,
                           TimePoint now);
  void SendOrder(const orders::Order& order);

  OrdersContext context_;
  orders::OrderLease lease_;
  orders::AssignmentPlanner planner_;
  services::LogTail tail_;
  std::shared_ptr<const config::ConfigView> view_;
  std::map<std::string, Engine> engines_;
  std::set<std::string> drained_upstreams_;
  bool renew_lease_ = true;
  bool held_lease_ = false;
  TimerSubscription timer_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_ORDERS_DRIVER_H_
