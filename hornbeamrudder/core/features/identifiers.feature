Feature: Identifiers and hashes

  Scenario: A request id names the node that accepted it
    # Guards against looking for a handed-over request on the wrong node.
    Given a request id made by node "entry-levis-est-1"
    Then its accepting node is "entry-levis-est-1"

  Scenario: Rendezvous order moves only the keys of a lost name
    # Guards against a hash that moves most keys when one worker leaves.
    Given 400 keys placed on workers "a,b,c,d" by rendezvous order
    When worker "b" is removed
    Then only keys placed on "b" have moved
