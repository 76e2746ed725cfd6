/// \file
/// Conversion between the names of HTTP methods and the constants of evhttp.
/// All functions are pure and thread safe.
#ifndef GREENGAGESPAR_BASE_HTTP_METHOD_H
#define GREENGAGESPAR_BASE_HTTP_METHOD_H

#include <event2/http.h>
#include <optional>
#include <string_view>

namespace greengagespar {

/// Returns the name of a method; empty for one that is not among GET, POST,
/// HEAD, PUT, DELETE, PATCH and OPTIONS.
std::string_view methodName(evhttp_cmd_type method);

/// Returns the method with that name; an empty optional for any other name.
std::optional<evhttp_cmd_type> methodOf(std::string_view name);

} // namespace greengagespar

#endif // GREENGAGESPAR_BASE_HTTP_METHOD_H
