/// \file
/// Finds out whether this is the first life of the endpoint process before a
/// server, by an object in the platform that the first life creates. Not thread
/// safe: used from the loop's thread only.
#ifndef GREENGAGESPAR_ENDPOINT_FIRST_LIFE_H
#define GREENGAGESPAR_ENDPOINT_FIRST_LIFE_H

#include "greengagespar/endpoint/endpoint_settings.h"
#include "greengagespar/store/object_client.h"
#include <functional>

struct event_base;

namespace greengagespar {

/// Creates the object /system/lives/<server> once, at the start. While the
/// platform does not answer, the process counts as restarted, which is safe.
class FirstLife {
public:
  /// Precondition: \p base outlives this object. \p onFirst is called when this
  /// life created the object.
  FirstLife(event_base *base, const EndpointSettings &settings,
            Incarnation life, std::function<void()> onFirst);

  /// Sends the one write.
  void start();

private:
  void onWritten(Result<PutOutcome> result);
  void settle();

  ObjectClient Platform;
  std::string Path;
  Incarnation Life;
  std::function<void()> OnFirst;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_ENDPOINT_FIRST_LIFE_H
