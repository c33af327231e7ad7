#ifndef TURMERICPASS_SCHEDULING_SIZEESTIMATOR_H
#define TURMERICPASS_SCHEDULING_SIZEESTIMATOR_H

#include "Wire/Messages.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace turmericpass {

/// Estimates how large the answers of one service are: in tokens for models,
/// in milliseconds for plain services. The history is kept for each customer
/// and class, because one customer's classes differ by much.
class SizeEstimator {
public:
  explicit SizeEstimator(bool IsModel = true);

  /// Returns the expected size of the answer.
  double expect(const Submit &Work) const;

  /// Returns the cost of the work in the same unit, prompt included.
  double cost(const Submit &Work) const;

  /// Takes the size that an answer turned out to have.
  void observe(const Submit &Work, bool IsBatch, double Observed);

  /// Returns the size above which work leaves \p Level; level 0 is short.
  double bound(bool IsBatch, std::uint32_t Level) const;

  /// Returns the level of work of that size, at most LastLevel.
  std::uint32_t levelOf(bool IsBatch, double Size) const;

  static constexpr std::uint32_t LastLevel = 2;

private:
  struct History {
    double Size = 0;
    /// The size as a share of the requested maximum.
    double Share = 0;
    bool HasShare = false;
  };
  struct Median {
    std::vector<double> Recent;
    std::size_t Next = 0;
    double Value = 0;
  };

  bool IsModel;
  std::map<std::pair<std::string, std::string>, History> Histories;
  /// Of online work and of batch work.
  std::array<Median, 2> Medians;
};

} // namespace turmericpass

#endif
