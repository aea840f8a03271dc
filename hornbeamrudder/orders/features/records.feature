Feature: Order records and the threads that run them

  Scenario: A record survives the conversion to a row and back
    # Guards against a request or answer that another node reads differently.
    Then 100 generated records are equal after conversion

  Scenario: A damaged row is refused as a value
    # Guards against a row that terminates the node that reads it.
    Then 150 damaged rows give a record or a failure and no exception

  Scenario: Accounts and keys cannot name each other's record
    # Guards against one caller receiving the answer of another one.
    Then the accounts "a/b", "a%2Fb" and "a" have different rows for any key

  Scenario: A batch is bounded and its rows are distinct
    # Guards against a batch that the table service refuses.
    Given 250 pending writes of 240 rows
    Then the batches have at most 100 items with distinct rows, in order

  Scenario: Two nodes receive the same order at once
    # Guards against threads and clocks that differ from the decisions, and
    # against an exception of the table client that ends the committer.
    Given a table in memory that loses or damages some answers to writes
    When two nodes execute 40 orders each under the same keys
    Then each order ran once and both nodes gave its answer

  Scenario: Answers and texts that cannot be stored
    # Guards against a row or a batch that the table service refuses.
    Given a table in memory that loses or damages some answers to writes
    Then a large answer is given to its caller and recorded as unknown
    And a request with unencodable text is refused as not run

  Scenario: A send that waited too long is not made
    # Guards against a send window that ends where the thread pool begins.
    Given a table in memory that loses or damages some answers to writes
    When an order waits for a thread past its send window
    Then it did not run and its caller is told so

  Scenario: The node of an accepted order is gone
    # Guards against the loss of an accepted order with its node.
    When orders of a killed node are recovered on 40 seeds
    Then no promise is broken
    And recovery ran some of them

  Scenario: The scan is bounded
    # Guards against a recovery that takes the write limit of the table.
    Given 1000 records past their retention
    Then 60 s of scanning deletes them all with at most 20 writes per second
