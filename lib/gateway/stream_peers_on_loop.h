/// \file
/// Streams of other hosts, as the traffic thread uses them.

#ifndef TEASELHILL_LIB_GATEWAY_STREAM_PEERS_ON_LOOP_H_
#define TEASELHILL_LIB_GATEWAY_STREAM_PEERS_ON_LOOP_H_

#include <functional>
#include <utility>
#include <vector>

#include "teaselhill/gateway/peer_streams.h"
#include "teaselhill/net/event_loop.h"

namespace teaselhill::gateway {

/// Passes calls of the traffic thread to the streams of the control thread, and
/// the results back.
class StreamPeersOnLoop : public StreamPeers {
 public:
  StreamPeersOnLoop(net::EventLoop& traffic,
                    net::EventLoop& control,
                    PeerStreams& streams)
      : traffic_loop_(traffic), control_loop_(control), streams_(streams) {}

  void Publish(std::vector<StreamRecord> records,
               std::function<void()> done) override {
    control_loop_.Post(
        [this, records = std::move(records), done = std::move(done)] {
          streams_.Publish(records, [this, done] { traffic_loop_.Post(done); });
        });
  }

  void Ask(StreamQuery query,
           std::function<void(std::vector<StreamAnswer>)> done) override {
    control_loop_.Post(
        [this, query = std::move(query), done = std::move(done)] {
          streams_.Ask(query, [this, done](std::vector<StreamAnswer> answers) {
            traffic_loop_.Post(
                [done, answers = std::move(answers)] { done(answers); });
          });
        });
  }

 private:
  net::EventLoop& traffic_loop_;
  net::EventLoop& control_loop_;
  PeerStreams& streams_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_LIB_GATEWAY_STREAM_PEERS_ON_LOOP_H_
