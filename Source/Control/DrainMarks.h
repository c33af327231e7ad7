#ifndef TURMERICPASS_CONTROL_DRAINMARKS_H
#define TURMERICPASS_CONTROL_DRAINMARKS_H

#include "Platform/Table.h"

#include <functional>
#include <set>
#include <string>

namespace turmericpass {

class IdSource;

/// The drain requests of operators, stored as one row for each server or node
/// in the platform's table. Controllers treat a marked name as leaving.
class DrainMarks {
public:
  using DoneCallback = std::function<void(Result<void>)>;
  using ListCallback = std::function<void(Result<std::set<std::string>>)>;

  DrainMarks(Table &Rows, IdSource &Ids) : Rows(Rows), Ids(Ids) {}

  /// Marks \p Name as draining on behalf of the operator \p Operator. A name
  /// may be marked again. Errors are those of Table.
  void mark(const std::string &Name, const std::string &Operator,
            DoneCallback Action);

  /// Removes the mark of \p Name, if there is one.
  void clear(const std::string &Name, DoneCallback Action);

  /// Passes the marked names to \p Action.
  void list(ListCallback Action);

private:
  void scanAfter(const std::string &After, std::set<std::string> Found,
                 ListCallback Action);

  Table &Rows;
  IdSource &Ids;
};

} // namespace turmericpass

#endif
