#include "greengagespar/base/http_method.h"

#include <algorithm>
#include <array>

namespace greengagespar {

namespace {

struct Method {
  std::string_view Name;
  evhttp_cmd_type Type;
};

constexpr std::array<Method, 7> Methods = {{
    {"GET", EVHTTP_REQ_GET},
    {"POST", EVHTTP_REQ_POST},
    {"HEAD", EVHTTP_REQ_HEAD},
    {"PUT", EVHTTP_REQ_PUT},
    {"DELETE", EVHTTP_REQ_DELETE},
    {"PATCH", EVHTTP_REQ_PATCH},
    {"OPTIONS", EVHTTP_REQ_OPTIONS},
}};

} // namespace

std::string_view methodName(evhttp_cmd_type method) {
  const auto *it = std::ranges::find(Methods, method, &Method::Type);
  return it == Methods.end() ? std::string_view() : it->Name;
}

std::optional<evhttp_cmd_type> methodOf(std::string_view name) {
  const auto *it = std::ranges::find(Methods, name, &Method::Name);
  return it == Methods.end() ? std::nullopt : std::optional(it->Type);
}

} // namespace greengagespar
