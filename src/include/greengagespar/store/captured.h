/// \file
/// Failed results that can be passed to a callback.
#ifndef GREENGAGESPAR_STORE_CAPTURED_H
#define GREENGAGESPAR_STORE_CAPTURED_H

#include "greengagespar/base/errors.h"
#include <string>
#include <utility>

namespace greengagespar {

/// Runs \p f and stores the Error of a failure in the result itself. Without
/// this, a callback that runs outside of any error handler would lose it.
template <class F> auto captured(F &&f) {
  return boost::leaf::capture(
      boost::leaf::make_shared_context([](const Error &) {}),
      std::forward<F>(f));
}

/// Returns a failed result that holds its Error.
template <class T>
Result<T> capturedFailure(ErrorKind kind, std::string message) {
  return captured(
      [&]() -> Result<T> { return fail(kind, std::move(message)); });
}

} // namespace greengagespar

#endif // GREENGAGESPAR_STORE_CAPTURED_H
