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

/// Estimates the size of the answers of a service, in tokens for models and in
/// milliseconds for plain services. The history is kept for each customer and
/// class, because the classes of a customer differ widely.
class SizeEstimator {
public:
  explicit SizeEstimator(bool IsModel = true);

  /// Returns the expected size of the answer.
  double expectedSize(const Submit &Work) const;

  /// Returns the estimated cost of the request, including its prompt, in the
  /// same unit.
  double estimateCost(const Submit &Work) const;

  /// Records the observed size of an answer.
  void recordSize(const Submit &Work, bool IsBatch, double Observed);

  /// Returns the largest size of work in \p Level. Level 0 is short work.
  double levelBound(bool IsBatch, std::uint32_t Level) const;

  /// Returns the level of work of \p Size, which is at most MaxLevel.
  std::uint32_t levelFor(bool IsBatch, double Size) const;

  static constexpr std::uint32_t MaxLevel = 2;

private:
  struct History {
    double Size = 0;
    /// The mean size as a share of the requested maximum.
    double Share = 0;
    bool HasShare = false;
  };
  struct Median {
    std::vector<double> Samples;
    std::size_t NextIndex = 0;
    double Value = 0;
  };

  bool IsModel;
  std::map<std::pair<std::string, std::string>, History> Histories;
  /// The medians of online work and of batch work.
  std::array<Median, 2> Medians;
};

} // namespace turmericpass

#endif
