/// \file
/// Stand-in for the weight store.

#ifndef TEASELHILL_STANDIN_WEIGHT_STORE_H_
#define TEASELHILL_STANDIN_WEIGHT_STORE_H_

#include "teaselhill/standin/standin.h"

namespace teaselhill::standin {

struct WeightStoreOptions {
  StandInOptions common;
  double fetches_per_minute = 30;
  double burst = 2;
  Duration fetch_time = std::chrono::seconds(1);
};

class WeightStore : public StandIn {
 public:
  WeightStore(net::EventLoop& loop, const WeightStoreOptions& options)
      : StandIn(loop, options.common),
        options_(options),
        available_fetches_(options.burst) {}

 protected:
  void Serve(net::HttpRequest request, Response response) override;

 private:
  bool ConsumeFetchQuota();

  WeightStoreOptions options_;
  double available_fetches_;
  TimePoint refilled_at_{};
};

}  // namespace teaselhill::standin

#endif  // TEASELHILL_STANDIN_WEIGHT_STORE_H_
