/// \file
/// The address at which a process in direct mode serves its metrics. Not thread
/// safe: belongs to the thread of its loop.
#ifndef GREENGAGESPAR_DIRECT_METRICS_LISTENER_H
#define GREENGAGESPAR_DIRECT_METRICS_LISTENER_H

#include "greengagespar/base/ids.h"
#include "greengagespar/http/server.h"
#include <functional>
#include <string>

namespace greengagespar {

/// Answers with \p text, in the text format of Prometheus.
void sendMetrics(HttpReply &reply, const std::string &text);

/// Answers GET /metrics at a separate address.
class MetricsListener {
public:
  /// \p render returns all metrics as text. Precondition: \p loop and all that
  /// \p render uses outlive this object.
  MetricsListener(event_base *loop, std::function<std::string()> render);

  /// Begins to listen. If that fails, it logs the failure and the process
  /// continues without serving metrics. Does nothing when \p address is empty.
  void listen(const Address &address);

private:
  std::function<std::string()> Render;
  HttpListener Listener;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_METRICS_LISTENER_H
