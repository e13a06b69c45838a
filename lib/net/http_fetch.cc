/// \file
/// Requests whose whole response is collected before it is handed out.

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "teaselhill/net/http_client.h"

namespace teaselhill::net {

namespace {

size_t BytesOf(const Headers& headers) {
  size_t bytes = headers.capacity() * sizeof(Header);
  for (const Header& header : headers)
    bytes += header.name.capacity() + header.value.capacity();
  return bytes;
}

/// Collects a response and counts its bytes while it is unfinished.
class FetchHandler : public TransferHandler,
                     public std::enable_shared_from_this<FetchHandler> {
 public:
  FetchHandler(HttpClient& client, HttpClient::FetchCallback callback)
      : client_(client), callback_(std::move(callback)) {}

  /// Opens the account of transfer `id`, which this handler serves.
  void OpenAccount(MemoryBudget& budget, TransferId id) {
    account_ = budget.Open([&budget, id, weak = weak_from_this()] {
      if (const auto self = weak.lock())
        self->GiveUp(id, budget.max_bytes());
    });
    CountBytes();
  }

  void OnHead(int status, const Headers& headers) override {
    response_.status = status;
    response_.headers = headers;
    head_bytes_ = BytesOf(response_.headers);
    CountBytes();
  }

  void OnData(std::string_view data) override {
    response_.body.append(data);
    CountBytes();
  }

  void OnEnd(const TransferEnd& end) override {
    account_.reset();
    if (end.code != ResultCode::kOk) {
      callback_({end.code, end.detail});
      return;
    }
    callback_(std::move(response_));
  }

 private:
  void CountBytes() {
    if (account_)
      account_->Set(head_bytes_ + response_.body.capacity());
  }

  void GiveUp(TransferId id, size_t max_bytes) {
    client_.Cancel(id);
    account_.reset();
    response_ = {};
    callback_(
        {ResultCode::kProtocolError,
         "the response was given up: unfinished messages hold more than " +
             std::to_string(max_bytes) + " bytes"});
  }

  HttpClient& client_;
  HttpClient::FetchCallback callback_;
  ClientResponse response_;
  size_t head_bytes_ = 0;
  std::unique_ptr<MemoryBudget::Account> account_;
};

}  // namespace

void HttpClient::UseBudget(MemoryBudget* budget) {
  budget_ = budget;
}

TransferId HttpClient::Fetch(ClientRequest request,
                             FetchCallback callback,
                             size_t max_body_bytes) {
  request.max_body_bytes = max_body_bytes;
  const auto handler =
      std::make_shared<FetchHandler>(*this, std::move(callback));
  const TransferId id = Start(std::move(request), handler);
  if (budget_)
    handler->OpenAccount(*budget_, id);
  return id;
}

TransferId HttpClient::FetchHead(ClientRequest request,
                                 FetchCallback callback) {
  request.head_only = true;
  return Fetch(std::move(request), std::move(callback));
}

Result<ClientResponse> BlockingFetch(ClientRequest request,
                                     size_t max_body_bytes) {
  EventLoop loop;
  HttpClient client(loop);
  std::optional<Result<ClientResponse>> result;
  client.Fetch(
      std::move(request),
      [&](Result<ClientResponse> fetched) {
        result.emplace(std::move(fetched));
        loop.Stop();
      },
      max_body_bytes);
  loop.Run();
  return std::move(*result);
}

}  // namespace teaselhill::net
