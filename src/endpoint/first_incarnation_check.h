/// \file
/// Finds out whether this is the first incarnation of the endpoint process in
/// front of a server. The first incarnation creates an object in the platform;
/// later ones find it there. Not thread safe: used from the loop's thread only.
#ifndef GREENGAGESPAR_ENDPOINT_FIRST_INCARNATION_CHECK_H
#define GREENGAGESPAR_ENDPOINT_FIRST_INCARNATION_CHECK_H

#include "greengagespar/endpoint/endpoint_settings.h"
#include "greengagespar/store/object_client.h"
#include <functional>

struct event_base;

namespace greengagespar {

/// Creates the object /system/lives/<server> once, at the start. Unless the
/// platform answers, or if its store was ever restored, the process counts as
/// restarted, which is safe: a
/// restarted process grants votes on keys only with a complete memory.
class FirstIncarnationCheck {
public:
  /// Precondition: \p base outlives this object. \p onFirst is called when
  /// this incarnation, \p self, created the object.
  FirstIncarnationCheck(event_base *base, const EndpointSettings &settings,
                        Incarnation self, std::function<void()> onFirst);

  /// Sends the write that creates the object.
  void start();

private:
  void onWritten(Result<PutOutcome> result);
  void resolveUnknownWrite();
  void reportFirst();

  ObjectClient Platform;
  std::string Path;
  Incarnation SelfIncarnation;
  std::function<void()> OnFirst;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_ENDPOINT_FIRST_INCARNATION_CHECK_H
