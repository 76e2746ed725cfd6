/// \file
/// What the cases share about servers.
#ifndef GREENGAGESPAR_REVIEW_STANDINS_3_COMMON_H
#define GREENGAGESPAR_REVIEW_STANDINS_3_COMMON_H

#include "standin.h"

namespace review {

/// Returns the fields of a server's answer to \p request.
inline std::string signedFields(const Message &request) {
  return "X-Request-Id: " + request.field("X-Request-Id") +
         "\r\nX-Server-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";
}

} // namespace review

#endif // GREENGAGESPAR_REVIEW_STANDINS_3_COMMON_H
