"""The laboratory: stand-in partners and clients on loopback, scripted troubles, a checker of the rules."""
