/// \file
/// Failed results that can be handed to a callback.
#ifndef GREENGAGESPAR_STORE_CAPTURED_H
#define GREENGAGESPAR_STORE_CAPTURED_H

#include "greengagespar/base/errors.h"
#include <string>
#include <utility>

namespace greengagespar {

/// Runs \p f and keeps the Error of a failure inside the result, where a
/// callback that runs outside of any handler would otherwise lose it.
template <class F> auto captured(F &&f) {
  return boost::leaf::capture(
      boost::leaf::make_shared_context([](const Error &) {}),
      std::forward<F>(f));
}

/// Makes a failed result that keeps its Error.
template <class T>
Result<T> capturedFailure(ErrorKind kind, std::string message) {
  return captured(
      [&]() -> Result<T> { return fail(kind, std::move(message)); });
}

} // namespace greengagespar

#endif // GREENGAGESPAR_STORE_CAPTURED_H
