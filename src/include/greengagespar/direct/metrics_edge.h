/// \file
/// The address at which a process in direct mode shows its metrics. Not thread
/// safe: belongs to the thread of its loop.
#ifndef GREENGAGESPAR_DIRECT_METRICS_EDGE_H
#define GREENGAGESPAR_DIRECT_METRICS_EDGE_H

#include "greengagespar/base/ids.h"
#include "greengagespar/http/server.h"
#include <functional>
#include <string>

namespace greengagespar {

/// Answers with \p text, in the text format of Prometheus.
void sendMetrics(HttpReply &reply, const std::string &text);

/// Answers GET /metrics at an address of its own.
class MetricsEdge {
public:
  /// \p render returns all metrics as text. Precondition: \p loop and what
  /// \p render uses outlive the edge.
  MetricsEdge(event_base *loop, std::function<std::string()> render);

  /// Begins to listen. A process whose metrics can't be served goes on without
  /// them: the failure is logged. Does nothing when \p address is empty.
  void listen(const Address &address);

private:
  std::function<std::string()> Render;
  HttpEdge Edge;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_METRICS_EDGE_H
