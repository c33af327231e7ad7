#include "Jobs/TableWriter.h"

#include <memory>

namespace turmericpass {

namespace {

/// A transaction in progress, which is kept alive by the replies that it waits
/// for.
class TransactionCall : public std::enable_shared_from_this<TransactionCall> {
public:
  TransactionCall(Table &Rows, TableTransaction Transaction,
                  std::string Witness, Table::TransactCallback Done,
                  bool Uncertain, bool ReadBack)
      : Rows(Rows), Transaction(std::move(Transaction)),
        Witness(std::move(Witness)), Done(std::move(Done)),
        Uncertain(Uncertain), ReadBack(ReadBack) {}

  void send() {
    if (this->SendCount++ == TableWriter::MaxTries)
      return this->Done(failure(ErrorCode::Timeout,
                                "The table's reply was lost, and it is "
                                "not known whether the write happened; "
                                "retry with the same write id."));
    auto Self = this->shared_from_this();
    this->Rows.transact(this->Transaction, [Self](Result<void> Reply) {
      Self->onReply(std::move(Reply));
    });
  }

private:
  void onReply(Result<void> Reply) {
    if (Reply)
      return this->Done({});
    const ErrorCode Code = Reply.error().Code;
    if (Code == ErrorCode::Timeout)
      this->Uncertain = true;
    if (!this->Uncertain || !this->ReadBack)
      return this->Done(std::move(Reply));
    auto Self = this->shared_from_this();
    this->Rows.get(this->Witness, [Self, Code](const Result<TableRow> &Row) {
      Self->onRow(Row, Code);
    });
  }

  void onRow(const Result<TableRow> &Row, ErrorCode Code) {
    if (Row && Row->WriteId == this->Transaction.WriteId)
      return this->Done({});
    const bool RowIsKnown = Row || Row.error().Code == ErrorCode::NotFound;
    if (RowIsKnown && Code == ErrorCode::Conflict)
      return this->Done(
          failure(ErrorCode::Conflict,
                  "Another writer changed " + this->Witness + " first."));
    this->send();
  }

  Table &Rows;
  TableTransaction Transaction;
  std::string Witness;
  Table::TransactCallback Done;
  bool Uncertain;
  bool ReadBack;
  int SendCount = 0;
};

} // namespace

void TableWriter::commit(TableTransaction Transaction, std::string Witness,
                         Table::TransactCallback Done, bool Uncertain) const {
  std::make_shared<TransactionCall>(this->Rows, std::move(Transaction),
                                    std::move(Witness), std::move(Done),
                                    Uncertain, this->Rules.readsBack())
      ->send();
}

} // namespace turmericpass
