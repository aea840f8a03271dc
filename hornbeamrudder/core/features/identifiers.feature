Feature: Identifiers and hashes

  Scenario: A request id contains the id of the accepting node
    # Guards against looking up a handed-over request on the wrong node.
    Given a request id made by node "entry-levis-est-1"
    Then its accepting node is "entry-levis-est-1"

  Scenario: Rendezvous hashing remaps only the keys of a removed worker
    # Guards against a hash that remaps most keys when one worker is removed.
    Given 400 keys assigned to workers "a,b,c,d" by rendezvous hashing
    When worker "b" is removed
    Then only keys assigned to "b" have been remapped
