@processes
Feature: Answers and orders when backend servers fail or are reclaimed

  @discards_deployment
  Scenario: an engine is killed while streams are in progress
    Guards against truncated answers, duplicate tokens and lost requests.
    Given a load of streams and orders
    When worker engine-1 is killed with requests in progress
    And 3 s pass
    Then a stream was resumed or moved
    And the history satisfies the guarantees

  @long @discards_deployment
  Scenario: a plain service is killed while orders are in progress
    Guards against sending an order again after its answer was interrupted.
    Given a load of streams and orders
    When worker app-1 is killed with requests in progress
    And 3 s pass
    Then the history satisfies the guarantees, unknown order outcomes allowed

  @long @discards_deployment
  Scenario: an engine's host is reclaimed while one node cannot reach cloud API and host list
    Guards against new requests to a leaving worker from a node that is notified
    only by its peers, and against streams interrupted by the termination.
    Given a load of streams and orders
    When entry-1:cloud is cut off
    And entry-1:hosts is cut off
    And the hosts of engine-1 are reclaimed with 20 s notice
    Then engine-1 gets no new requests from 3 s after the notice on
    When the reclaimed hosts are terminated when their notice expires
    And 2 s pass
    Then the history satisfies the guarantees
