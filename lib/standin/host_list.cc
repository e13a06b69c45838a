/// \file
/// HTTP interface of the stand-in host list.

#include "teaselhill/standin/host_list.h"

#include "teaselhill/standin/messages.h"

namespace teaselhill::standin {

namespace {
/// Maximum number of versions that are not yet visible. When a further version
/// is set, the oldest pending version becomes visible before its time.
constexpr size_t kMaxPendingVersions = 1000;
}  // namespace

void LaggingText::Set(std::string text, TimePoint now) {
  pending_versions_.push_back({now + lag_, std::move(text)});
  if (pending_versions_.size() > kMaxPendingVersions)
    Get(pending_versions_.front().visible_at);
}

const std::string& LaggingText::Get(TimePoint now) {
  while (!pending_versions_.empty() &&
         pending_versions_.front().visible_at <= now) {
    visible_ = std::move(pending_versions_.front().text);
    pending_versions_.pop_front();
  }
  return visible_;
}

HostList::HostList(net::EventLoop& loop, const HostListOptions& options)
    : StandIn(loop, options.common),
      list_(options.lag, R"({"hosts":[],"upstreams":[]})") {}

void HostList::Serve(net::HttpRequest request, Response response) {
  if (request.method == "GET" && request.path == "/v1/hosts")
    RespondJson(*response, 200, list_.Get(Now()));
  else
    RespondJson(*response, 404, ErrorBody("no such path"));
}

bool HostList::ServeControl(const net::HttpRequest& request,
                            const Response& response) {
  if (request.method != "PUT" || request.path != "/control/hosts")
    return false;
  const Status checked = CheckHostList(request.body);
  if (checked)
    list_.Set(request.body, Now());
  RespondJson(*response, checked ? 200 : 400,
              checked ? "{}" : ErrorBody(checked.error().message));
  return true;
}

}  // namespace teaselhill::standin
