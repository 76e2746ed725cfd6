#include "greengagespar/http/carried_requests.h"

#include "greengagespar/base/hash.h"
#include <algorithm>

namespace greengagespar {

void recordRequest(CarriedRequests &carried, std::string_view id) {
  carried.Hashes.push_back(stableHash(id));
}

bool hasCarried(const CarriedRequests &carried, std::string_view id) {
  return std::ranges::find(carried.Hashes, stableHash(id)) !=
         carried.Hashes.end();
}

bool isFull(const CarriedRequests &carried) {
  return carried.Hashes.size() >= MaxCarriedRequests;
}

} // namespace greengagespar
