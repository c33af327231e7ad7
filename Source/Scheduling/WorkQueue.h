#ifndef TURMERICPASS_SCHEDULING_WORKQUEUE_H
#define TURMERICPASS_SCHEDULING_WORKQUEUE_H

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace turmericpass {

struct WorkItem;

/// The waiting work of one service: online before batch, then by the rank of
/// the class, then by arrival.
class WorkQueue {
public:
  void push(const WorkItem &Item);
  void remove(const WorkItem &Item);

  bool empty() const { return this->Order.empty(); }
  /// Returns the request id of the item to serve next; the queue must not be
  /// empty.
  const std::string &front() const { return this->Order.begin()->second; }

  std::uint32_t online() const { return this->Online; }
  std::uint32_t batch() const { return this->Batch; }

private:
  using Key = std::tuple<bool, std::uint32_t, std::uint64_t>;

  std::map<Key, std::string> Order;
  std::uint32_t Online = 0;
  std::uint32_t Batch = 0;
};

} // namespace turmericpass

#endif
