/// \file
/// Which calls of a plain service the system may send more than once.
#ifndef GREENGAGESPAR_CONTRACT_REPEAT_RULE_H
#define GREENGAGESPAR_CONTRACT_REPEAT_RULE_H

#include "greengagespar/contract/contract.h"
#include <string_view>

namespace greengagespar {

/// Whether and how the system may send a call more than once.
enum class RepeatRule {
  Repeatable, ///< Idempotent: the system may retry it.
  NotRetried, ///< Not declared as not repeatable, but its method is not
              ///< idempotent: the system does not retry it and needs no key.
  AtMostOnce, ///< Declared as not repeatable: it needs an idempotency key.
};

/// Returns the rule for \p method (in capitals) and \p path, the path below
/// the service, which may include a query. A call is AtMostOnce if \p service
/// declares it as not repeatable. Otherwise it is Repeatable if its method is
/// idempotent (RFC 9110, 9.2.2) and NotRetried if not. The path is compared
/// after percent-decoding and removal of "." segments and repeated slashes, so
/// that another spelling of a declared path matches too. Thread safe.
RepeatRule repeatRule(const Service &service, std::string_view method,
                      std::string_view path);

/// Returns whether the system may retry the call. Thread safe.
inline bool mayRepeat(const Service &service, std::string_view method,
                      std::string_view path) {
  return repeatRule(service, method, path) == RepeatRule::Repeatable;
}

/// Returns whether \p text is valid as path and query in a request line: it
/// begins with "/" and is printable ASCII without spaces. Thread safe.
bool isRequestTarget(std::string_view text);

} // namespace greengagespar

#endif // GREENGAGESPAR_CONTRACT_REPEAT_RULE_H
