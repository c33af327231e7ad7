#ifndef TURMERICPASS_CONTROL_DRAINMARKS_H
#define TURMERICPASS_CONTROL_DRAINMARKS_H

#include "Platform/Table.h"

#include <functional>
#include <set>
#include <string>

namespace turmericpass {

class IdSource;

/// What operators want drained: rows in the platform's table, one for each
/// server or node. Controllers treat a marked name as leaving.
class DrainMarks {
public:
  using Done = std::function<void(Result<void>)>;
  using ListCallback = std::function<void(Result<std::set<std::string>>)>;

  DrainMarks(Table &Rows, IdSource &Ids) : Rows(Rows), Ids(Ids) {}

  /// Marks \p Name. A repeated mark is harmless. Errors as for Table.
  void mark(const std::string &Name, const std::string &By, Done Action);

  /// Takes the mark of \p Name away, if it has one.
  void clear(const std::string &Name, Done Action);

  /// Gives the marked names.
  void list(ListCallback Action);

private:
  void scanAfter(const std::string &After, std::set<std::string> Found,
                 ListCallback Action);

  Table &Rows;
  IdSource &Ids;
};

} // namespace turmericpass

#endif
