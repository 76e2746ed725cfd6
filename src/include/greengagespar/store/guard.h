/// \file
/// Keeps callbacks from running after the object that they belong to is gone.
#ifndef GREENGAGESPAR_STORE_GUARD_H
#define GREENGAGESPAR_STORE_GUARD_H

#include <memory>
#include <utility>

namespace greengagespar {

/// A member of an object that hands out callbacks. Declare it last, so that it
/// is destroyed first. Not thread safe.
class Guard {
public:
  /// Returns a function that calls \p f as long as this guard lives and does
  /// nothing after that.
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
