/// \file
/// Stand-in for the host list.

#ifndef TEASELHILL_STANDIN_HOST_LIST_H_
#define TEASELHILL_STANDIN_HOST_LIST_H_

#include <deque>
#include <string>

#include "teaselhill/standin/standin.h"

namespace teaselhill::standin {

struct HostListOptions {
  StandInOptions common;
  Duration lag = std::chrono::seconds(2);
};

/// A text whose changes become visible `lag` after they were set.
class LaggingText {
 public:
  LaggingText(Duration lag, std::string initial)
      : lag_(lag), visible_(std::move(initial)) {}

  void Set(std::string text, TimePoint now);
  const std::string& Get(TimePoint now);

 private:
  struct Version {
    TimePoint visible_at;
    std::string text;
  };

  Duration lag_;
  std::string visible_;
  std::deque<Version> pending_versions_;
};

class HostList : public StandIn {
 public:
  HostList(net::EventLoop& loop, const HostListOptions& options);

 protected:
  void Serve(net::HttpRequest request, Response response) override;
  bool ServeControl(const net::HttpRequest& request,
                    const Response& response) override;

 private:
  LaggingText list_;
};

}  // namespace teaselhill::standin

#endif  // TEASELHILL_STANDIN_HOST_LIST_H_
