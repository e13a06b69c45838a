/// \file
/// Client of the rate-limited weight store.

#ifndef TEASELHILL_SERVICES_WEIGHT_STORE_CLIENT_H_
#define TEASELHILL_SERVICES_WEIGHT_STORE_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "teaselhill/net/http_client.h"
#include "teaselhill/support/result.h"
#include "teaselhill/support/time.h"

namespace teaselhill::services {

class WeightStoreClient {
 public:
  /// The time until the weights are ready; kWeightStoreLimited when the store
  /// refuses over its rate; kConnectFailed, kTimedOut, kConnectionLost or
  /// kProtocolError otherwise.
  using Callback = std::function<void(Result<Duration>)>;

  virtual ~WeightStoreClient() = default;
  virtual void Fetch(const std::string& model, Callback callback) = 0;
};

/// A fetch order costs about 500 bytes; only order givers send them.
class HttpWeightStoreClient : public WeightStoreClient {
 public:
  HttpWeightStoreClient(net::HttpClient& client,
                        std::string base_url,
                        std::string source_address = "");
  ~HttpWeightStoreClient() override;
  void Fetch(const std::string& model, Callback callback) override;

 private:
  net::HttpClient& client_;
  std::string base_url_;
  std::string source_address_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace teaselhill::services

#endif  // TEASELHILL_SERVICES_WEIGHT_STORE_CLIENT_H_
