/// \file
/// The range of HTTP status codes.
#ifndef GREENGAGESPAR_BASE_HTTP_STATUS_H
#define GREENGAGESPAR_BASE_HTTP_STATUS_H

namespace greengagespar {

/// Whether \p status is a status code of HTTP (RFC 9110, section 15). A server
/// that sends another one is in trouble, and its answer says nothing about the
/// request. Thread safe.
constexpr bool isHttpStatus(int status) {
  return status >= 100 && status < 600;
}

} // namespace greengagespar

#endif // GREENGAGESPAR_BASE_HTTP_STATUS_H
