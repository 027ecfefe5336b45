// Random numbers of the lab: one seed gives one sequence on any machine. The engine and the distributions are
// Boost's, for those of the standard library may differ between implementations.
#pragma once

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/normal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>
#include <cstdint>

namespace valedrum::lab {

// A number that depends on both, with no likeness between near ones (the finisher of splitmix64).
inline std::uint64_t mixed(std::uint64_t a, std::uint64_t b) {
  std::uint64_t x = a + 0x9e3779b97f4a7c15ULL * (b + 1);
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

struct Range {  // both ends belong to it
  double low = 0, high = 0;
  bool operator==(const Range&) const = default;
};

class Random {
 public:
  // Streams of one seed are independent: what one part of a day draws doesn't shift another's draws.
  Random(std::uint64_t seed, std::uint64_t stream) : engine_(mixed(seed, stream)) {}

  double unit() { return boost::random::uniform_01<double>()(engine_); }
  bool chance(double p) { return unit() < p; }
  double between(Range r) { return r.low + (r.high - r.low) * unit(); }
  double exponential(double mean) {
    return boost::random::exponential_distribution<double>(1 / mean)(engine_);
  }
  double normal() { return boost::random::normal_distribution<double>()(engine_); }
  std::uint32_t below(std::uint32_t n) {
    return boost::random::uniform_int_distribution<std::uint32_t>(0, n - 1)(engine_);
  }
  // With mean 1.
  double lognormal(double sigma) { return std::exp(sigma * normal() - sigma * sigma / 2); }

 private:
  boost::random::mt19937_64 engine_;
};

}  // namespace valedrum::lab
