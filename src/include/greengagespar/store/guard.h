/// \file
/// Prevents callbacks from running after their owner was destroyed.
#ifndef GREENGAGESPAR_STORE_GUARD_H
#define GREENGAGESPAR_STORE_GUARD_H

#include <memory>
#include <utility>

namespace greengagespar {

/// A member of an object that passes callbacks to others. Declare it as the
/// last member, so that it is destroyed first. Not thread safe.
class Guard {
public:
  /// Returns a function that calls \p f while this guard exists and does
  /// nothing afterwards.
  template <class F> auto wrap(F f) const {
    return [weak = std::weak_ptr<const bool>(Alive),
            f = std::move(f)](auto &&...args) mutable {
      if (weak.lock())
        f(std::forward<decltype(args)>(args)...);
    };
  }

private:
  std::shared_ptr<const bool> Alive = std::make_shared<const bool>(true);
};

} // namespace greengagespar

#endif // GREENGAGESPAR_STORE_GUARD_H
