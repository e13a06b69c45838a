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
  /// Gets the time until the weights are ready. kWeightStoreLimited: the store
  /// rejected the fetch because of its rate limit. kProtocolError: another
  /// status or a malformed answer. kConnectFailed, kTimedOut, kConnectionLost:
  /// the request failed.
  using Callback = std::function<void(Result<Duration>)>;

  virtual ~WeightStoreClient() = default;

  /// Has the store fetch `model`'s weights. `callback` runs on the event loop.
  virtual void Fetch(const std::string& model, Callback callback) = 0;
};

/// WeightStoreClient over HTTP. A fetch order costs about 500 bytes. Fetch
/// orders are sent only by hosts that give orders to engines.
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
