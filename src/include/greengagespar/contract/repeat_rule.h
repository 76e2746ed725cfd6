/// \file
/// Which calls of a plain service the system may send more than once.
#ifndef GREENGAGESPAR_CONTRACT_REPEAT_RULE_H
#define GREENGAGESPAR_CONTRACT_REPEAT_RULE_H

#include "greengagespar/contract/contract.h"
#include <string_view>

namespace greengagespar {

/// How often a call may run.
enum class RepeatRule {
  Repeatable, ///< Idempotent: may be retried.
  NotRetried, ///< Not declared, but not idempotent by its method: the system
              ///< does not retry it and needs no key.
  AtMostOnce, ///< Declared as not repeatable: needs an idempotency key.
};

/// Returns the rule for \p method (in capitals) and \p path, the path below
/// the service, query allowed. A call is AtMostOnce if \p service declares it;
/// else Repeatable if its method is idempotent (RFC 9110, 9.2.2); else
/// NotRetried. The path is compared after percent-decoding and removal of "."
/// segments and repeated slashes, so that another spelling of a declared path
/// is the declared path. Thread safe.
RepeatRule repeatRule(const Service &service, std::string_view method,
                      std::string_view path);

/// Whether the system may retry the call. Thread safe.
inline bool mayRepeat(const Service &service, std::string_view method,
                      std::string_view path) {
  return repeatRule(service, method, path) == RepeatRule::Repeatable;
}

/// Whether \p text can stand as path and query in a request line: it begins
/// with "/" and is printable ASCII without spaces. Thread safe.
bool isRequestTarget(std::string_view text);

} // namespace greengagespar

#endif // GREENGAGESPAR_CONTRACT_REPEAT_RULE_H
